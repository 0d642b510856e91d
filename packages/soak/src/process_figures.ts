/** Figures of a running process, as the system tells them. */
import {readFileSync} from 'node:fs';

const KILOBYTES_PER_MEGABYTE = 1_024;
const MILLISECONDS_PER_TICK = 10;

/**
 * Resident memory in megabytes, now (`VmRSS`) or at most so far (`VmHWM`); 0 if
 * the process does not run or the system has no `/proc`.
 */
export function residentMegabytes(
  processId: number | undefined,
  field: 'VmRSS' | 'VmHWM',
): number {
  const text = readProcessFile(processId, 'status');
  const [, kilobytes = 0] = new RegExp(`${field}:\\s+(\\d+)`).exec(text) ?? [];
  return Math.round(Number(kilobytes) / KILOBYTES_PER_MEGABYTE);
}

/** Processor time of the process so far; 0 as above. */
export function processorMs(processId: number | undefined): number {
  const text = readProcessFile(processId, 'stat');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const [user = 0, system = 0] = fields.slice(11, 13).map(Number);
  return (user + system) * MILLISECONDS_PER_TICK;
}

function readProcessFile(
  processId: number | undefined,
  name: 'status' | 'stat',
): string {
  try {
    return readFileSync(`/proc/${processId}/${name}`, 'utf8');
  } catch {
    return '';
  }
}
