/** Style sheet of all pages; the rules for narrow screens come first. */
export const CONSOLE_STYLE =
    `:root { color-scheme: light dark; --accent: #0a5c8a; --line: #8886; --bad: #b3261e; --good: #1d6b34; --muted: #595959; }
@media (prefers-color-scheme: dark) { :root { --accent: #7cc4ee; --bad: #ff8a80; --good: #7ddc95; --muted: #b0b0b0; } }
* { box-sizing: border-box; }
body { font: 1rem/1.5 system-ui, sans-serif; margin: 0 auto; max-width: 60rem; padding: 0 1rem 3rem; overflow-wrap: anywhere; }
a { color: var(--accent); }
:focus-visible { outline: 3px solid var(--accent); outline-offset: 2px; }
main:focus, [data-focus]:focus { outline: none; }
.skip { position: absolute; left: -999rem; }
.skip:focus { left: 1rem; top: .5rem; background: Canvas; padding: .5rem 1rem; z-index: 1; }
header { display: flex; flex-wrap: wrap; gap: .25rem 1.25rem; align-items: center; padding: .75rem 0; border-bottom: 1px solid var(--line); }
header nav ul { display: flex; flex-wrap: wrap; gap: 0 1rem; list-style: none; margin: 0; padding: 0; }
header nav a { display: inline-block; padding: .4rem 0; }
.session { margin-left: auto; display: flex; gap: .75rem; align-items: center; }
h1 { font-size: 1.5rem; line-height: 1.25; } h2 { font-size: 1.2rem; margin-top: 2rem; } h3 { font-size: 1rem; margin: 0 0 .25rem; }
.field { margin: 0 0 1.1rem; }
.field > .label { display: block; font-weight: 600; }
input[type=text], input[type=password], select, textarea { font: inherit; width: 100%; max-width: 32rem; padding: .45rem .6rem; border: 1px solid #888; border-radius: .3rem; background: Canvas; color: CanvasText; }
textarea { max-width: none; font-family: ui-monospace, monospace; font-size: .9rem; }
.box { display: block; padding: .2rem 0; }
.help, .none, .required, .side { color: var(--muted); font-size: .875rem; font-weight: 400; margin: .15rem 0 0; }
fieldset { border: 1px solid var(--line); border-radius: .4rem; margin: 0 0 1.5rem; padding: .75rem 1rem 0; min-width: 0; }
legend { font-weight: 700; padding: 0 .4rem; }
fieldset > .help { margin-bottom: .75rem; }
button, .button { font: inherit; display: inline-block; padding: .5rem 1rem; border: 1px solid var(--accent); border-radius: .3rem; background: var(--accent); color: Canvas; text-decoration: none; cursor: pointer; }
button.quiet, .button { background: none; color: var(--accent); }
button.danger { background: none; border-color: var(--bad); color: var(--bad); margin-left: auto; }
.actions { display: flex; flex-wrap: wrap; gap: .75rem 1.25rem; align-items: center; margin: 1rem 0; }
.inline { display: inline; }
.faulty input, .faulty select, .faulty textarea { border: 2px solid var(--bad); }
.findings { color: var(--bad); margin: .25rem 0; padding-left: 1.2rem; }
.alert { border-left: .3rem solid var(--bad); padding: .25rem 1rem; margin: 1rem 0; background: color-mix(in srgb, var(--bad) 8%, Canvas); }
.alert h2, .alert h3 { margin: .5rem 0 0; }
.bad { color: var(--bad); }
.state { font-size: 1.15rem; font-weight: 600; }
.stale { opacity: .55; }
.entries, .changes { list-style: none; padding: 0; }
.entries li { padding: .35rem 0; border-bottom: 1px solid var(--line); }
.entries li > * { margin-right: .5rem; }
.change { border: 1px solid var(--line); border-radius: .4rem; padding: .6rem 1rem; margin: 0 0 .75rem; }
.change em { font-weight: 400; font-style: normal; color: var(--muted); }
dl { margin: 0; } dl > div { padding: .2rem 0; } dt { font-weight: 600; } dd { margin: 0; }
.before .value { text-decoration: line-through; color: var(--bad); } .after .value { color: var(--good); }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .35rem .5rem .35rem 0; border-bottom: 1px solid var(--line); vertical-align: top; }
th { overflow-wrap: break-word; }
th.inner { font-weight: 400; padding-left: 1rem; min-width: 7rem; }
progress { width: 5rem; accent-color: var(--accent); vertical-align: middle; }
@media (min-width: 40rem) { .facts > div, .change dl > div { display: grid; grid-template-columns: 10rem 1fr 1fr; gap: 0 1rem; } .facts > div { grid-template-columns: 10rem 1fr; } }
`;
