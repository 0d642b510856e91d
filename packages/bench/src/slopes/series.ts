/** Series of measurements, evaluated against their bounds. */
import {type Fit, type Point, fitLine, valueAt} from './fit.js';

export interface Series {
  readonly name: string;
  readonly unit: string;
  /** Quantity on the horizontal axis, such as VMs or requests/s. */
  readonly against: string;
  readonly points: readonly Point[];
  /** Size at which the value is judged; extrapolated if not measured. */
  readonly designSize: number;
  /** Whether every run gives the same figures; others depend on the machine. */
  readonly counted: boolean;
  readonly bound?: number;
}

export interface SeriesResult extends Series {
  readonly fit: Fit;
  readonly atDesign: number;
  /** Whether the design size is one of the measured points. */
  readonly measured: boolean;
  readonly over: boolean;
}

export function evaluate(series: Series): SeriesResult {
  const fit = fitLine(series.points);
  const designPoint = series.points.find(
    point => point.size === series.designSize,
  );
  const atDesign = designPoint?.value ?? valueAt(fit, series.designSize);
  const {bound} = series;
  return {
    ...series,
    fit,
    atDesign,
    measured: designPoint !== undefined,
    over: bound !== undefined && atDesign > bound,
  };
}

export function formatResult(result: SeriesResult): string {
  const {name, unit, against, designSize, atDesign, fit, bound} = result;
  const points = result.points
    .map(({size, value}) => `${size}: ${formatValue(value)}`)
    .join(', ');
  const origin = result.measured ? 'measured' : 'extrapolated';
  const verdict =
    bound === undefined
      ? ''
      : `; ${result.over ? 'OVER' : 'within'} ${formatValue(bound)}`;
  return [
    `${name} (${unit} against ${against}) ${points}`,
    `  slope ${fit.slope.toPrecision(3)}, residual ${(100 * fit.residual).toFixed(1)} %; at ${designSize} ${origin} ${formatValue(atDesign)}${verdict}`,
  ].join('\n');
}

export function formatValue(value: number): string {
  if (Number.isInteger(value)) {
    return String(value);
  }
  return Math.abs(value) < 10 ? value.toPrecision(3) : value.toFixed(1);
}
