/** Browser script of all pages. Every page also works without it, by reloading. */

/** Time between two refreshes of the convergence fragment. */
const REFRESH_INTERVAL_MS = 2_000;
/** Time after which the page for a lost answer asks for the outcome again. */
const RESUBMIT_DELAY_MS = 3_000;

export const CONSOLE_SCRIPT = `"use strict";
document.querySelector("[data-focus]")?.focus();

const live = document.querySelector("[data-follow]");
// Only parts that differ are replaced, so that screen readers announce changes only and the focus stays.
function updateLive(html) {
    const fresh = document.createElement("div");
    fresh.innerHTML = html;
    const isSameShape = fresh.children.length === live.children.length;
    if (!isSameShape) {
        live.replaceChildren(...fresh.childNodes);
        return;
    }
    [...fresh.children].forEach((child, index) => {
        if (child.outerHTML !== live.children[index].outerHTML) {
            live.children[index].replaceWith(child);
        }
    });
}

async function follow() {
    try {
        const response = await fetch(live.dataset.follow, { redirect: "error" });
        if (response.ok) {
            updateLive(await response.text());
        }
        live.classList.toggle("stale", !response.ok);
    } catch {
        live.classList.add("stale");
    }
    setTimeout(follow, ${REFRESH_INTERVAL_MS});
}
if (live) {
    setTimeout(follow, ${REFRESH_INTERVAL_MS});
}

const repeated = document.querySelector("[data-repeat] form");
if (repeated) {
    setTimeout(() => repeated.requestSubmit(), ${RESUBMIT_DELAY_MS});
}

for (const element of document.querySelectorAll("[data-needs-script]")) {
    element.hidden = false;
}
for (const input of document.querySelectorAll("[data-reads-into]")) {
    input.addEventListener("change", async () => {
        const [file] = input.files;
        if (file) {
            document.getElementById(input.dataset.readsInto).value = await file.text();
        }
    });
}
`;
