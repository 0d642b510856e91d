/**
 * Simulation of VMs that run the real claims state machine with a fake store
 * and fake targets, driven by generated steps. Every message and store call is
 * in flight until a step delivers, loses or refuses it, so that any order can
 * occur.
 */
import {
  type ClaimDecision,
  type ClaimPeerMessage,
  type ClaimRequest,
  type ClaimStoreCall,
  type ClaimStoreResult,
  type Claims,
  type ClaimsAction,
  type ClaimsEvent,
  type ClaimsOptions,
  type MembershipView,
  type VmId,
  type VmState,
  createClaims,
  createRandomSource,
  incarnation,
  regionName,
  requestId,
  serviceName,
  vmId,
  workspaceName,
  zoneName,
} from '../../src/index.js';

const WORKSPACE = workspaceName('lodging');
const SERVICE = serviceName('bookings');
const VM_IDS = ['a', 'b', 'c'].map(vmId);
const OWN_KEYS = ['key-1', 'key-2', 'key-3'];
const DEADLINE_MS = 10_000;

export type CreateClaims = (options: ClaimsOptions) => Claims;

/** The kind of a step and a number that selects among its options. */
export type Step = readonly [StepKind, number];

export const STEP_KINDS = [
  'request',
  'request-with-ticket',
  'resend',
  'resend-with-other-body',
  'store-applies',
  'store-answers',
  'store-answer-lost',
  'store-refuses',
  'peer-delivers',
  'peer-loses',
  'send-and-answer',
  'send-and-lose',
  'do-not-send',
  'tick',
  'time-passes',
  'vm-replaced',
  'task-restarted',
  'view-changes',
] as const;
export type StepKind = (typeof STEP_KINDS)[number];

interface Vm {
  readonly id: VmId;
  incarnationNumber: number;
  epoch: number;
  claims: Claims;
}

interface StoreCallInFlight {
  readonly vm: Vm;
  readonly owner: Claims;
  readonly call: number;
  readonly operation: ClaimStoreCall;
  result?: ClaimStoreResult;
}

interface PendingSend {
  readonly owner: Claims;
  readonly vm: Vm;
  readonly token: string;
  readonly request: ClaimRequest;
}

interface PeerMessageInFlight {
  readonly from: VmId;
  readonly to: VmId;
  readonly message: ClaimPeerMessage;
}

export class InvariantViolation extends Error {}

export interface ClaimsSimulation {
  /** @throws InvariantViolation if a decision breaks at-most-once execution. */
  step(step: Step): void;
  /** Number of decisions of each kind. */
  readonly decisions: ReadonlyMap<string, number>;
}

export function createClaimsSimulation(
  createMachine: CreateClaims = createClaims,
): ClaimsSimulation {
  const store = new Map<string, {version: number; value: unknown}>();
  const calls: StoreCallInFlight[] = [];
  const messages: PeerMessageInFlight[] = [];
  const pendingSends: PendingSend[] = [];
  const requests: ClaimRequest[] = [];
  const runs = new Map<string, string[]>();
  const ran = new Set<string>();
  const decisions = new Map<string, number>();
  const openRequests = new Map<Claims, Map<number, ClaimRequest>>();
  let nowMs = 1_000_000;
  let version = 0;
  let lastCorrelationId = 0;
  let lastRequest = 0;
  const vms = VM_IDS.map(id => startVm(id, 1));

  function startVm(id: VmId, incarnationNumber: number): Vm {
    return {
      id,
      incarnationNumber,
      epoch: 1,
      claims: createStateMachine(id, incarnationNumber, 1),
    };
  }

  function createStateMachine(
    id: VmId,
    incarnationNumber: number,
    epoch: number,
  ): Claims {
    return createMachine({
      vm: id,
      incarnation: incarnation(`${id}-${incarnationNumber}`),
      epoch,
      random: createRandomSource(incarnationNumber),
      maximumRecordedBytes: 100,
      deferredWritesPerSecond: 1_000,
    });
  }

  function time() {
    return {nowMs, wallMs: nowMs};
  }

  function handleEvent(vm: Vm, event: ClaimsEvent): void {
    const {claims} = vm;
    for (const action of claims.step(event, time())) {
      perform(vm, claims, action);
    }
  }

  function perform(vm: Vm, owner: Claims, action: ClaimsAction): void {
    switch (action.kind) {
      case 'decide':
        checkDecision(vm, owner, action.correlationId, action.decision);
        return;
      case 'call-store': {
        const {call, operation} = action;
        calls.push({vm, owner, call, operation});
        return;
      }
      case 'send':
        messages.push({from: vm.id, to: action.to, message: action.message});
        return;
      case 'ended':
      case 'note':
        return;
    }
  }

  function checkDecision(
    vm: Vm,
    owner: Claims,
    correlationId: number,
    decision: ClaimDecision,
  ): void {
    const request = openRequests.get(owner)?.get(correlationId);
    if (!request) {
      throw new InvariantViolation(
        `decision for unknown correlation id ${correlationId}`,
      );
    }
    openRequests.get(owner)!.delete(correlationId);
    decisions.set(decision.kind, (decisions.get(decision.kind) ?? 0) + 1);
    switch (decision.kind) {
      case 'run':
        pendingSends.push({owner, vm, token: decision.token, request});
        return;
      case 'replay':
        checkReplay(request, decision.answer.headers['run']);
        return;
      case 'unavailable':
        if (decision.outcome === 'not-run') {
          checkNotRun(request);
        }
        return;
      case 'key-reused':
        checkReused(request);
        return;
      case 'in-progress':
      case 'outcome-unknown':
        return;
    }
  }

  function checkReplay(request: ClaimRequest, run: string | undefined): void {
    const runsOfKey = runs.get(request.key.idempotencyKey) ?? [];
    const own = run?.endsWith(` ${request.fingerprint}`);
    if (!run || !runsOfKey.includes(run) || !own) {
      throw new InvariantViolation(
        `replayed run ${run} for fingerprint ${request.fingerprint}`,
      );
    }
  }

  /** Checks that neither this request nor an earlier one with its key ran. */
  function checkNotRun(request: ClaimRequest): void {
    const key = request.key.idempotencyKey;
    for (const other of requests) {
      if (other.key.idempotencyKey === key && ran.has(other.request)) {
        throw new InvariantViolation(
          `decision "not-run" for ${key}, which ran`,
        );
      }
      if (other === request) {
        return;
      }
    }
  }

  function checkReused(request: ClaimRequest): void {
    const others = requests.some(
      other =>
        other.key.idempotencyKey === request.key.idempotencyKey &&
        other.fingerprint !== request.fingerprint,
    );
    if (!others) {
      throw new InvariantViolation(
        'decision "key-reused" without a request with another body',
      );
    }
  }

  function sendRequest(choice: number, key: string, fingerprint: string): void {
    lastRequest += 1;
    lastCorrelationId += 1;
    const request: ClaimRequest = {
      key: {workspace: WORKSPACE, service: SERVICE, idempotencyKey: key},
      request: requestId(`request-${lastRequest}`),
      fingerprint,
      remainingMs: DEADLINE_MS,
      firstAttempt: !requests.some(other => other.key.idempotencyKey === key),
    };
    requests.push(request);
    const vm = pick(vms, choice)!;
    const open = openRequests.get(vm.claims) ?? new Map<number, ClaimRequest>();
    openRequests.set(vm.claims, open);
    open.set(lastCorrelationId, request);
    handleEvent(vm, {kind: 'begin', correlationId: lastCorrelationId, request});
  }

  function resend(choice: number, fingerprint?: string): void {
    const before = pick(requests, choice >> 3);
    if (before) {
      const {key} = before;
      sendRequest(
        choice,
        key.idempotencyKey,
        fingerprint ?? before.fingerprint,
      );
    }
  }

  function applyCall(call: StoreCallInFlight): void {
    if (call.result) {
      return;
    }
    const {operation} = call;
    const current = store.get(operation.key);
    switch (operation.kind) {
      case 'read':
        call.result = current
          ? {kind: 'found', ...current}
          : {kind: 'not-found'};
        return;
      case 'create':
        call.result = current
          ? {kind: 'conflict', current}
          : put(operation.key, operation.record);
        return;
      case 'update':
        call.result =
          current?.version === operation.expected
            ? put(operation.key, operation.record)
            : {kind: 'conflict', current};
        return;
    }
  }

  function put(key: string, value: unknown): ClaimStoreResult {
    version += 1;
    store.set(key, {version, value: JSON.parse(JSON.stringify(value))});
    return {kind: 'written', version};
  }

  /** A lost call may take effect later: it stays in flight without an owner. */
  function finishCall(choice: number, how: 'answer' | 'lose' | 'refuse'): void {
    const call = pick(calls, choice);
    if (!call) {
      return;
    }
    calls.splice(calls.indexOf(call), 1);
    const answer = resultOf(call, how, choice);
    if (call.vm.claims === call.owner && answer) {
      handleEvent(call.vm, {
        kind: 'store-answered',
        call: call.call,
        result: answer,
      });
    }
  }

  function resultOf(
    call: StoreCallInFlight,
    how: 'answer' | 'lose' | 'refuse',
    choice: number,
  ): ClaimStoreResult | undefined {
    if (how === 'refuse' && !call.result) {
      return {kind: 'unavailable'};
    }
    if (how === 'lose') {
      if (!call.result && choice % 2 === 0) {
        calls.push({...call, owner: undefined as unknown as Claims});
      }
      return {kind: 'lost-answer'};
    }
    applyCall(call);
    return call.result;
  }

  function send(choice: number, how: 'answer' | 'lose' | 'not'): void {
    const pendingSend = pick(pendingSends, choice);
    if (!pendingSend) {
      return;
    }
    pendingSends.splice(pendingSends.indexOf(pendingSend), 1);
    if (how === 'not') {
      endClaim(pendingSend, {kind: 'not-run'});
      return;
    }
    const run = runAtTarget(pendingSend.request);
    const answer = {status: 200, headers: {run}};
    endClaim(
      pendingSend,
      how === 'answer' ? {kind: 'answered', answer} : {kind: 'unknown'},
    );
  }

  function runAtTarget(request: ClaimRequest): string {
    const key = request.key.idempotencyKey;
    const runsOfKey = runs.get(key) ?? [];
    const run = `${key} ${runsOfKey.length + 1} ${request.fingerprint}`;
    runsOfKey.push(run);
    ran.add(request.request);
    runs.set(key, runsOfKey);
    if (runsOfKey.length > 1) {
      throw new InvariantViolation(`${key} ran ${runsOfKey.length} times`);
    }
    return run;
  }

  function endClaim(
    pendingSend: PendingSend,
    end: Extract<ClaimsEvent, {kind: 'end'}>['end'],
  ): void {
    // A VM that was replaced after it sent the request cannot end its claim.
    if (pendingSend.vm.claims === pendingSend.owner) {
      lastCorrelationId += 1;
      const {token} = pendingSend;
      handleEvent(pendingSend.vm, {
        kind: 'end',
        correlationId: lastCorrelationId,
        token,
        end,
      });
    }
  }

  function deliver(choice: number): void {
    const found = pick(messages, choice);
    const vm = vms.find(({id}) => id === found?.to);
    if (!found || !vm) {
      return;
    }
    // One in five messages stays in flight and may be delivered again.
    if (choice % 5 !== 0) {
      messages.splice(messages.indexOf(found), 1);
    }
    const {from, message} = found;
    handleEvent(vm, {kind: 'peer-message', from, message});
  }

  function lose<Item>(items: Item[], choice: number): void {
    const found = pick(items, choice);
    if (found !== undefined) {
      items.splice(items.indexOf(found), 1);
    }
  }

  /** A restarted VM loses its unsent requests; a restarted task keeps them. */
  function restart(choice: number, what: 'vm' | 'task'): void {
    const vm = pick(vms, choice)!;
    vm.incarnationNumber += what === 'vm' ? 1 : 0;
    vm.epoch = what === 'vm' ? 1 : vm.epoch + 1;
    for (const pendingSend of [...pendingSends]) {
      if (pendingSend.vm === vm && what === 'vm') {
        pendingSends.splice(pendingSends.indexOf(pendingSend), 1);
      }
    }
    vm.claims = createStateMachine(vm.id, vm.incarnationNumber, vm.epoch);
  }

  /** Sets an arbitrary view, since correctness must not depend on views. */
  function changeView(choice: number): void {
    const states: VmState[] = ['live', 'suspect', 'gone'];
    const entries = VM_IDS.map((id, index) => {
      const state = states[(choice >> (2 * index)) % states.length]!;
      const location = {region: regionName('riga'), zone: zoneName('a')};
      return [id, {vm: id, state, ...location}] as const;
    });
    const view: MembershipView = {
      atMs: nowMs,
      vms: new Map(entries),
      silentRegions: new Set(),
      selfDoubt: false,
    };
    handleEvent(pick(vms, choice)!, {kind: 'membership-changed', view});
  }

  function step([kind, choice]: Step): void {
    switch (kind) {
      case 'request': {
        const key = pick(OWN_KEYS, choice >> 2)!;
        const before = requests.find(
          ({key: old}) => old.idempotencyKey === key,
        );
        sendRequest(choice, key, before?.fingerprint ?? `body of ${key}`);
        return;
      }
      case 'request-with-ticket': {
        const ticket = pick(vms, choice)!.claims.mintTicket(time());
        sendRequest(choice >> 2, ticket, `body of ${ticket}`);
        return;
      }
      case 'resend':
        resend(choice);
        return;
      case 'resend-with-other-body':
        resend(choice, 'another body');
        return;
      case 'store-applies': {
        const call = pick(calls, choice);
        if (call) {
          applyCall(call);
        }
        return;
      }
      case 'store-answers':
        finishCall(choice, 'answer');
        return;
      case 'store-answer-lost':
        finishCall(choice, 'lose');
        return;
      case 'store-refuses':
        finishCall(choice, 'refuse');
        return;
      case 'peer-delivers':
        deliver(choice);
        return;
      case 'peer-loses':
        lose(messages, choice);
        return;
      case 'send-and-answer':
        send(choice, 'answer');
        return;
      case 'send-and-lose':
        send(choice, 'lose');
        return;
      case 'do-not-send':
        send(choice, 'not');
        return;
      case 'tick':
        handleEvent(pick(vms, choice)!, {kind: 'tick'});
        return;
      case 'time-passes':
        nowMs += 1 + (choice % 20_000);
        return;
      case 'vm-replaced':
        restart(choice, 'vm');
        return;
      case 'task-restarted':
        restart(choice, 'task');
        return;
      case 'view-changes':
        changeView(choice);
        return;
    }
  }

  return {
    step,
    decisions,
  };
}

function pick<Item>(items: readonly Item[], choice: number): Item | undefined {
  return items[choice % Math.max(1, items.length)];
}
