/** The platform's limit of the memory of a process. */
import {readFileSync} from 'node:fs';
import type {VmProcess} from './fleet.js';

export interface MemoryLimit {
  /** The most that each VM has taken, in bytes. */
  peakBytes(id: string): number;
  stop(): void;
}

const SAMPLE_INTERVAL_MS = 2;
const BYTES_PER_KIBIBYTE = 1_024;
const PRIVATE_MEMORY_PATTERN = /^RssAnon:\s+(\d+) kB$/m;

/**
 * Ends processes that take more than the limit. Counts only their private
 * memory, and neither their program nor what their sockets hold.
 */
export function enforceMemoryLimit(
  vms: readonly VmProcess[],
  limitBytes: number,
  onExceeded: (vm: VmProcess, bytes: number) => void,
): MemoryLimit {
  const peaks = new Map<string, number>();
  const timer = setInterval(() => {
    for (const vm of vms) {
      const bytes = privateBytes(vm.pid());
      peaks.set(vm.id, Math.max(bytes, peaks.get(vm.id) ?? 0));
      if (bytes > limitBytes) {
        vm.signal('SIGKILL');
        onExceeded(vm, bytes);
      }
    }
  }, SAMPLE_INTERVAL_MS);
  return {
    peakBytes: id => peaks.get(id) ?? 0,
    stop: () => clearInterval(timer),
  };
}

/** 0 if the process is gone. */
function privateBytes(pid: number | undefined): number {
  if (pid === undefined) {
    return 0;
  }
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const [, kibibytes = '0'] = PRIVATE_MEMORY_PATTERN.exec(status) ?? [];
    return Number(kibibytes) * BYTES_PER_KIBIBYTE;
  } catch {
    return 0;
  }
}
