/** Convergence page: where the accepted version is in force, and what delays it elsewhere. */
import type { Session } from "../access/index.js";
import type { Convergence, DaemonShare, DomainConvergence, RegionConvergence } from "../convergence/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import { formatBytes, formatDuration, formatShare, formatTime } from "./Formats.js";
import { renderPage } from "./Layout.js";

function renderShare({ daemons, inForce }: DaemonShare): Html {
    return renderHtml`<progress max="${Math.max(daemons, 1)}" value="${inForce}" aria-hidden="true"></progress> ${
        formatShare(inForce, daemons)
    } <span class="none">${inForce} of ${daemons}</span>`;
}

function renderDomain(domain: DomainConvergence): Html {
    const note = domain.cutOffForMs === undefined
        ? undefined
        : renderHtml` <strong class="bad">cut off for ${formatDuration(domain.cutOffForMs)}</strong>`;
    return renderHtml`<tr><th scope="row" class="inner">${domain.failureDomain}</th><td>${
        domain.isReported ? renderShare(domain) : renderHtml`<span class="none">not reported</span>`
    }${note}</td></tr>`;
}

function renderRegion(region: RegionConvergence): Html {
    const isReported = region.domains.some(domain => domain.isReported);
    return renderHtml`<tr><th scope="row">${region.region}</th><td>${
        isReported ? renderShare(region) : renderHtml`<span class="none">not reported</span>`
    }</td></tr>${region.domains.map(renderDomain)}`;
}

function describeProgress({ isReported, mesh, version }: Convergence): string {
    if (!isReported || mesh.daemons === 0) {
        return `Version ${version} is accepted. No relay has reported daemons yet.`;
    }
    return mesh.inForce === mesh.daemons
        ? `Version ${version} is in force on all ${mesh.daemons} daemons.`
        : `Version ${version} is in force on ${mesh.inForce} of ${mesh.daemons} daemons.`;
}

function renderWaiting({ unsettled, waiting }: Convergence): Html {
    const items = waiting.map(({ daemons, reason }) =>
        renderHtml`<li>${reason} <span class="none">(${daemons} ${daemons === 1 ? "daemon" : "daemons"})</span></li>`
    );
    const starting = unsettled > 0
        && renderHtml`<li>${unsettled} ${unsettled === 1 ? "daemon has" : "daemons have"} just started and ${
            unsettled === 1 ? "is" : "are"
        } finding out the newest version.</li>`;
    return waiting.length === 0 && unsettled === 0
        ? renderHtml`<p>Nothing is waiting.</p>`
        : renderHtml`<ul>${starting}${items}</ul>`;
}

function renderScarceServices({ scarceServices }: Convergence): Html {
    const items = scarceServices.map(({ live, planned, service }) =>
        renderHtml`<li><a href="/edit/services/${service}">${service}</a>: <strong class="bad">${live} live</strong> of ${planned} planned</li>`
    );
    return items.length === 0 ? renderHtml`<p>None is reported.</p>` : renderHtml`<ul>${items}</ul>`;
}

/** Renders the fragment that the script refreshes. */
export function renderConvergence(view: Convergence, now: number): Html {
    return renderHtml`<p class="state" role="status">${describeProgress(view)}</p>
<dl class="facts">
<div><dt>Accepted</dt><dd>${formatDuration(view.ageMs)} ago by ${view.author}: ${view.message}</dd></div>
<div><dt>In force</dt><dd>${renderShare(view.mesh)}</dd></div>
<div><dt>Control bytes</dt><dd>${formatBytes(view.controlBytes)}, of which ${
        formatBytes(view.controlBytesAcrossRegions)
    } between regions, since the daemons started</dd></div>
</dl>
<h2>Regions and failure domains</h2>
<table><thead><tr><th scope="col">Place</th><th scope="col">Has version ${view.version} in force</th></tr></thead>
<tbody>${view.regions.map(renderRegion)}</tbody></table>
<h2>What is waiting, and why</h2>
${renderWaiting(view)}
<h2>Services with too few live servers</h2>
${renderScarceServices(view)}
<p class="help">Read at ${formatTime(now)}.</p>`;
}

/** Renders the fragment while the store can't be read. */
export function renderConvergenceFailure(detail: string, now: number): Html {
    return renderHtml`<section class="alert"><p>The store can't be read: ${detail}</p>
<p>What is in force in the mesh stays in force. The state of the mesh is not known here until the store answers.</p></section>
<p class="help">Tried at ${formatTime(now)}.</p>`;
}

/** Renders the fragment for a store without a version. */
export function renderEmptyStore(): Html {
    return renderHtml`<p>No document was accepted so far. <a href="/import">Import one</a> to begin.</p>`;
}

/** Renders the page around the fragment. */
export function renderConvergencePage(session: Session, fragment: Html): string {
    const main = renderHtml`<div id="live" data-follow="/convergence">${fragment}</div>
<noscript><p>Reload the page to follow the mesh.</p></noscript>`;
    return renderPage({ main, session, title: "Convergence" });
}
