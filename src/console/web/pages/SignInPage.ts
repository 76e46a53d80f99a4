import { renderHtml } from "../Html.js";
import { renderPage } from "./Layout.js";

/** Renders the sign-in page; `error` says why an attempt failed. */
export function renderSignInPage(operator: string, error?: string): string {
    const alert = error === undefined
        ? undefined
        : renderHtml`<section class="alert" role="alert" tabindex="-1" data-focus><p>${error}</p></section>`;
    const main = renderHtml`${alert}<form method="post" action="/sign-in">
<div class="field"><label class="label" for="operator">Your name</label>
<input type="text" id="operator" name="operator" value="${operator}" required maxlength="64" autocomplete="username" aria-describedby="operator-help">
<p class="help" id="operator-help">Written into the history with each version that you publish.</p></div>
<div class="field"><label class="label" for="token">Token</label>
<input type="password" id="token" name="token" required autocomplete="current-password" aria-describedby="token-help">
<p class="help" id="token-help">The console prints it when it starts, unless PAPAYATURN_TOKEN is set.</p></div>
<div class="actions"><button>Sign in</button></div></form>`;
    return renderPage({ main, session: undefined, title: "Sign in" });
}

/** Renders the answer to a form that was submitted after its session ended. Reloading the page submits it again. */
export function renderEndedSessionPage(): string {
    const main = renderHtml`<section class="alert" role="alert" tabindex="-1" data-focus>
<p>Nothing was sent, and nothing you typed is lost.</p>
<ol><li><a href="/sign-in" target="_blank" rel="noopener">Sign in again in another tab</a>, by the same name.</li>
<li>Come back to this page and reload it, which sends your form again.</li></ol></section>`;
    return renderPage({ main, session: undefined, title: "Your session ended" });
}
