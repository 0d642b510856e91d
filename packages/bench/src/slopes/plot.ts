/** Plots each series as an SVG panel: points, fitted line and bound. */
import {valueAt} from './fit.js';
import {type SeriesResult, formatValue} from './series.js';

const PANEL_WIDTH = 360;
const PANEL_HEIGHT = 220;
const MARGIN = 44;
const COLUMNS = 3;

export function plotSvg(results: readonly SeriesResult[]): string {
  const rows = Math.ceil(results.length / COLUMNS);
  const panels = results.map((result, index) => {
    const left = (index % COLUMNS) * PANEL_WIDTH;
    const top = Math.floor(index / COLUMNS) * PANEL_HEIGHT;
    return `<g transform="translate(${left},${top})">${panel(result)}</g>`;
  });
  const width = COLUMNS * PANEL_WIDTH;
  const height = rows * PANEL_HEIGHT;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="10">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...panels,
    '</svg>',
    '',
  ].join('\n');
}

function panel(result: SeriesResult): string {
  const sizes = [...result.points.map(point => point.size), result.designSize];
  const values = [
    ...result.points.map(point => point.value),
    result.atDesign,
    result.bound ?? 0,
  ];
  const largestSize = Math.max(...sizes);
  const largestValue = Math.max(...values, 1e-9);
  const x = (size: number) =>
    MARGIN + (size / largestSize) * (PANEL_WIDTH - 2 * MARGIN);
  const y = (value: number) =>
    PANEL_HEIGHT -
    MARGIN -
    (value / largestValue) * (PANEL_HEIGHT - 2 * MARGIN);
  const line = (fromY: number, toY: number, style: string) =>
    `<line x1="${x(0)}" y1="${fromY}" x2="${x(largestSize)}" y2="${toY}" ${style}/>`;
  const fitted = line(
    y(valueAt(result.fit, 0)),
    y(valueAt(result.fit, largestSize)),
    'stroke="steelblue"',
  );
  const bound =
    result.bound === undefined
      ? ''
      : line(
          y(result.bound),
          y(result.bound),
          'stroke="firebrick" stroke-dasharray="4"',
        );
  const dots = result.points.map(
    ({size, value}) => `<circle cx="${x(size)}" cy="${y(value)}" r="3"/>`,
  );
  return [
    `<text x="${MARGIN}" y="16">${result.name} (${result.unit})</text>`,
    `<text x="${MARGIN}" y="${PANEL_HEIGHT - 12}">${result.against}, to ${largestSize}: ${formatValue(result.atDesign)}</text>`,
    line(y(0), y(0), 'stroke="black"'),
    fitted,
    bound,
    ...dots,
  ].join('');
}
