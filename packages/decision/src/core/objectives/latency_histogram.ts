/** Mergeable HDR latency histograms with two significant digits. */
import histogramLibrary, {type Histogram} from 'hdr-histogram-js';

const HIGHEST_LATENCY_MS = 3_600_000;

export function createLatencyHistogram(): Histogram {
  return histogramLibrary.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
    autoResize: false,
  });
}

export function recordLatency(histogram: Histogram, latencyMs: number): void {
  const rounded = Math.max(0, Math.round(latencyMs));
  histogram.recordValue(Math.min(rounded, HIGHEST_LATENCY_MS));
}

export function encodeHistogram(histogram: Histogram): string {
  return histogramLibrary.encodeIntoCompressedBase64(histogram);
}

/** @returns Undefined when the text is not a histogram. */
export function decodeHistogram(text: string): Histogram | undefined {
  try {
    return histogramLibrary.decodeFromCompressedBase64(text);
  } catch {
    return undefined;
  }
}

/** Merges encoded histograms, skipping those that cannot be decoded. */
export function mergeHistograms(texts: readonly string[]): Histogram {
  const merged = createLatencyHistogram();
  for (const text of texts) {
    const part = text ? decodeHistogram(text) : undefined;
    if (part) {
      merged.add(part);
    }
  }
  return merged;
}
