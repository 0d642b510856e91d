/** Styles of the burn page: phones first, then wider screens and print. */
export const BURN_PAGE_STYLES = `
:root { color-scheme: light; --text: #1d2733; --muted: #5a6878; --line: #d5dce4;
  --background: #fff; --panel: #f5f7f9; --good: #1b6e53; --bad: #b3261e;
  --late: #b26a00; }
* { box-sizing: border-box; }
body { margin: 0; padding: 1rem; color: var(--text); background: var(--background);
  font: 16px/1.45 system-ui, sans-serif; max-width: 70rem; margin: 0 auto; }
h1 { font-size: 1.4rem; margin: 0 0 .25rem; }
h2 { font-size: 1.1rem; margin: 0; overflow-wrap: anywhere; }
h3 { font-size: .95rem; margin: 1rem 0 .25rem; }
p { margin: .25rem 0; }
.muted { color: var(--muted); font-size: .9rem; }
.notice { border-left: 4px solid var(--late); background: var(--panel);
  padding: .5rem .75rem; margin: .75rem 0; font-size: .9rem; }
.notice ul { margin: .25rem 0; padding-left: 1.1rem; }
article { border: 1px solid var(--line); border-radius: 8px; padding: 1rem;
  margin: 1rem 0; }
.grid { display: grid; grid-template-columns: 1fr; gap: .75rem 1.5rem; }
.budget { background: var(--panel); border-radius: 6px; padding: .75rem; }
.left { font-size: 1.6rem; font-weight: 600; }
.left.good { color: var(--good); } .left.bad { color: var(--bad); }
table { border-collapse: collapse; width: 100%; font-size: .9rem; }
th, td { text-align: left; padding: .25rem .5rem .25rem 0;
  border-bottom: 1px solid var(--line); vertical-align: top; }
td:first-child { overflow-wrap: anywhere; }
th { color: var(--muted); font-weight: 600; }
td:not(:first-child), th:not(:first-child) { text-align: right;
  white-space: nowrap; }
.rates td:first-child, .hours td:first-child { white-space: nowrap; }
.alert { color: var(--bad); font-weight: 600; }
svg { display: block; width: 100%; max-width: 34rem; height: auto; }
svg text { font: 11px system-ui, sans-serif; fill: var(--muted); }
.legend span { display: inline-block; margin-right: 1rem; font-size: .85rem; }
.legend i { display: inline-block; width: .8rem; height: .8rem;
  margin-right: .3rem; vertical-align: -1px; }
@media (min-width: 46rem) { .grid { grid-template-columns: 1fr 1fr; } }
@media print {
  body { padding: 0; font-size: 11pt; max-width: none; }
  article { break-inside: avoid; border-color: #999; }
  .budget, .notice { background: none; border: 1px solid #999; }
  .grid { grid-template-columns: 1fr 1fr; }
  * { print-color-adjust: exact; -webkit-print-color-adjust: exact; }
}
`;
