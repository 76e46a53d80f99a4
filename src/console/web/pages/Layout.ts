/** Layout of all pages: skip link, navigation and the signed-in operator. */
import type { Session } from "../access/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";

export interface Page {
    readonly title: string;
    /** Undefined on pages that are shown without a session. */
    readonly session: Session | undefined;
    readonly main: Html;
}

const NAVIGATION = [
    ["/", "Convergence"],
    ["/document", "Document"],
    ["/history", "History"],
    ["/import", "Import"],
] as const;

/** Renders the hidden anti-forgery token of a form. */
export function renderFormToken(session: Session): Html {
    return renderHtml`<input type="hidden" name="formToken" value="${session.formToken}">`;
}

function renderNavigation(session: Session): Html {
    const links = NAVIGATION.map(([path, label]) => renderHtml`<li><a href="${path}">${label}</a></li>`);
    return renderHtml`<nav aria-label="Pages"><ul>${links}</ul></nav>
<form method="post" action="/sign-out" class="session">${renderFormToken(session)}
<span>${session.operator}</span> <button class="quiet">Sign out</button></form>`;
}

/** Renders a whole page. */
export function renderPage({ main, session, title }: Page): string {
    return renderHtml`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${title} – papayaturn</title>
<link rel="stylesheet" href="/console.css">
<script src="/console.js" defer></script>
</head>
<body>
<a class="skip" href="#main">Skip to the content</a>
<header><strong>papayaturn</strong>${session === undefined ? undefined : renderNavigation(session)}</header>
<main id="main" tabindex="-1">
<h1>${title}</h1>
${main}
</main>
</body>
</html>
`.text;
}
