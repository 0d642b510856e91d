/** A few VMs that keep quotas together over links with delays and faults. */
import {
  type FleetQuotas,
  type QuotaDemandReport,
  type QuotaTolerance,
  type RequestQuota,
  createFleetQuotas,
} from '../../src/index.js';

export const WORKSPACE = 'faculty';
export const TOLERANCE: QuotaTolerance = {
  windowMs: 5_000,
  excessRatio: 0.1,
  excessRequests: 20,
};
export const STEP_MS = 20;
const HEARTBEAT_MS = 400;
const HEARD_MS = 1_000;

interface Vm {
  quotas: FleetQuotas;
  isUp: boolean;
  isCut: boolean;
  nextHeartbeatMs: number;
  readonly heardAtMs: Map<number, number>;
}

interface Delivery {
  readonly to: number;
  readonly from: number;
  readonly atMs: number;
  readonly report: QuotaDemandReport | undefined;
}

export interface QuotaFleet {
  /** A request of the workspace arrives at a VM; lost if that is down. */
  arrive(vm: number): void;
  /** Starts a new process that knows nothing. */
  restart(vm: number): void;
  kill(vm: number): void;
  /** Parts the VM from its peers, but not from callers. */
  cut(vm: number, isCut: boolean): void;
  setQuota(quota: RequestQuota): void;
  /** Advances the clock by `STEP_MS`. */
  step(): void;
  nowMs(): number;
  admitted(): number;
  refused(): number;
  /** Largest number of requests admitted in any window so far. */
  busiestWindow(): number;
}

export function createQuotaFleet(
  size: number,
  initialQuota: RequestQuota,
  delayMs: (from: number, to: number) => number,
): QuotaFleet {
  let quota = initialQuota;
  let nowMs = 10_000;
  let refusedCount = 0;
  const admittedAtMs: number[] = [];
  let deliveries: Delivery[] = [];
  const vms = Array.from({length: size}, (_unused, index) => startVm(index));

  function startVm(index: number): Vm {
    const quotas = createFleetQuotas({
      self: String(index),
      tolerance: () => TOLERANCE,
      random: () => 0.5,
    });
    quotas.setQuotas(new Map([[WORKSPACE, quota]]), nowMs);
    const nextHeartbeatMs = nowMs + (index * HEARTBEAT_MS) / size;
    return {
      quotas,
      isUp: true,
      isCut: false,
      nextHeartbeatMs,
      heardAtMs: new Map(),
    };
  }

  function otherIds(index: number): readonly string[] {
    return vms.flatMap((_vm, other) =>
      other === index ? [] : [String(other)],
    );
  }

  function sendTo(
    from: number,
    report: QuotaDemandReport | undefined,
    to: number,
  ): void {
    if (from !== to && !vms[from]?.isCut && !vms[to]?.isCut) {
      deliveries.push({from, to, report, atMs: nowMs + delayMs(from, to)});
    }
  }

  function deliver({from, to, report}: Delivery): void {
    const vm = vms[to];
    if (!vm?.isUp) {
      return;
    }
    const isNewLink = nowMs - (vm.heardAtMs.get(from) ?? -Infinity) > HEARD_MS;
    vm.heardAtMs.set(from, nowMs);
    if (report) {
      vm.quotas.recordReport(String(from), report);
    }
    if (isNewLink) {
      sendTo(to, vm.quotas.report(), from);
    }
  }

  function step(): void {
    nowMs += STEP_MS;
    const due = deliveries.filter(({atMs}) => atMs <= nowMs);
    deliveries = deliveries.filter(({atMs}) => atMs > nowMs);
    for (const delivery of due) {
      deliver(delivery);
    }
    for (const [index, vm] of vms.entries()) {
      if (!vm.isUp || nowMs < vm.nextHeartbeatMs) {
        continue;
      }
      vm.nextHeartbeatMs = nowMs + HEARTBEAT_MS;
      const heard = [...vm.heardAtMs.values()].filter(
        atMs => nowMs - atMs <= HEARD_MS,
      );
      const isStarting = vm.heardAtMs.size < size - 1;
      vm.quotas.setVms(otherIds(index), isStarting ? size - 1 : heard.length);
      const news = vm.quotas.takeNews(nowMs);
      for (const to of vms.keys()) {
        sendTo(index, news, to);
      }
    }
  }

  function busiestWindow(): number {
    let first = 0;
    let most = 0;
    for (const [last, atMs] of admittedAtMs.entries()) {
      while ((admittedAtMs[first] ?? 0) < atMs - TOLERANCE.windowMs) {
        first += 1;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  return {
    arrive: index => {
      const vm = vms[index];
      if (!vm?.isUp) {
        return;
      }
      const {kind} = vm.quotas.admit(WORKSPACE, false, nowMs);
      if (kind === 'admitted') {
        admittedAtMs.push(nowMs);
      } else {
        refusedCount += 1;
      }
    },
    restart: index => {
      vms[index] = startVm(index);
    },
    kill: index => {
      const vm = vms[index];
      if (vm) {
        vm.isUp = false;
      }
    },
    cut: (index, isCut) => {
      const vm = vms[index];
      if (vm) {
        vm.isCut = isCut;
      }
    },
    setQuota: next => {
      quota = next;
      for (const {quotas} of vms) {
        quotas.setQuotas(new Map([[WORKSPACE, next]]), nowMs);
      }
    },
    step,
    nowMs: () => nowMs,
    admitted: () => admittedAtMs.length,
    refused: () => refusedCount,
    busiestWindow,
  };
}

/** Requests that the rule allows in a window. */
export function allowedInWindow({perSecond, burst}: RequestQuota): number {
  const {windowMs, excessRatio, excessRequests} = TOLERANCE;
  const inWindow = (perSecond * windowMs) / 1_000 + burst;
  return inWindow * (1 + excessRatio) + excessRequests;
}
