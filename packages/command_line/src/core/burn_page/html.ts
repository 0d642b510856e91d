/** Escapes text for HTML and SVG, in content and in quoted attributes. */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;')
    .replaceAll("'", '&#39;');
}

export function renderTableRow(
  tag: 'td' | 'th',
  cells: readonly string[],
): string {
  const rendered = cells.map(cell => `<${tag}>${escapeHtml(cell)}</${tag}>`);
  return `<tr>${rendered.join('')}</tr>`;
}
