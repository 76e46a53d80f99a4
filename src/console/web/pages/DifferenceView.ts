/** Renders the difference between two documents, by entry and setting. */
import type { EntryChange, SettingChange } from "../edits/index.js";
import { describeTarget } from "../edits/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";

/** Limited because an import can change thousands of entries. */
const MAXIMUM_SHOWN_ENTRIES = 100;

function renderValue(value: string | undefined, change: SettingChange): Html {
    if (value !== undefined) {
        return renderHtml`<span class="value">${value}</span>`;
    }
    return change.defaultText === undefined
        ? renderHtml`<span class="none">not set</span>`
        : renderHtml`<span class="none">not set (default ${change.defaultText})</span>`;
}

function renderSetting(change: SettingChange, kind: EntryChange["kind"]): Html {
    const before = kind === "added"
        ? undefined
        : renderHtml`<dd class="before"><span class="side">before</span> ${renderValue(change.before, change)}</dd>`;
    const after = kind === "removed"
        ? undefined
        : renderHtml`<dd class="after"><span class="side">${kind === "added" ? "new" : "after"}</span> ${
            renderValue(change.after, change)
        }</dd>`;
    return renderHtml`<div><dt>${change.path}</dt>${before}${after}</div>`;
}

function renderEntry(entry: EntryChange): Html {
    return renderHtml`<li class="change ${entry.kind}"><h3>${describeTarget(entry.target)} <em>${entry.kind}</em></h3>
<dl>${entry.settings.map(setting => renderSetting(setting, entry.kind))}</dl></li>`;
}

/** Renders the entries that differ. */
export function renderDifference(changes: readonly EntryChange[]): Html {
    if (changes.length === 0) {
        return renderHtml`<p>Nothing differs.</p>`;
    }
    const hidden = changes.length - MAXIMUM_SHOWN_ENTRIES;
    return renderHtml`<ul class="changes">${changes.slice(0, MAXIMUM_SHOWN_ENTRIES).map(renderEntry)}</ul>${
        hidden > 0 && renderHtml`<p>${hidden} more entries differ.</p>`
    }`;
}
