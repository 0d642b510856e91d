/**
 * VMs with the real claims machine, a fake store and fake targets, moved by
 * steps that a property test generates. Every message and store call waits
 * until a step delivers, loses or refuses it, so each order is possible.
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

/** What a step does, and a number that picks among its choices. */
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
  life: number;
  taskLife: number;
  claims: Claims;
}

interface StoreCallInFlight {
  readonly vm: Vm;
  readonly owner: Claims;
  readonly call: number;
  readonly operation: ClaimStoreCall;
  result?: ClaimStoreResult;
}

interface Sent {
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
  /** @throws InvariantBroken when a promise does not hold. */
  step(step: Step): void;
  /** How often each decision was made, to see that schedules reach it. */
  readonly decisions: ReadonlyMap<string, number>;
}

export function createClaimsSimulation(
  createMachine: CreateClaims = createClaims,
): ClaimsSimulation {
  const store = new Map<string, {version: number; value: unknown}>();
  const calls: StoreCallInFlight[] = [];
  const messages: PeerMessageInFlight[] = [];
  const toSend: Sent[] = [];
  const asked: ClaimRequest[] = [];
  const runs = new Map<string, string[]>();
  const ran = new Set<string>();
  const decisions = new Map<string, number>();
  const questions = new Map<Claims, Map<number, ClaimRequest>>();
  let nowMs = 1_000_000;
  let version = 0;
  let lastQuestion = 0;
  let lastRequest = 0;
  const vms = VM_IDS.map(id => startVm(id, 1));

  function startVm(id: VmId, life: number): Vm {
    return {id, life, taskLife: 1, claims: machine(id, life, 1)};
  }

  function machine(id: VmId, life: number, taskLife: number): Claims {
    return createMachine({
      vm: id,
      incarnation: incarnation(`${id}-${life}`),
      epoch: taskLife,
      random: createRandomSource(life),
      maximumRecordedBytes: 100,
      deferredWritesPerSecond: 1_000,
    });
  }

  function time() {
    return {nowMs, wallMs: nowMs};
  }

  function feed(vm: Vm, event: ClaimsEvent): void {
    const {claims} = vm;
    for (const action of claims.step(event, time())) {
      perform(vm, claims, action);
    }
  }

  function perform(vm: Vm, owner: Claims, action: ClaimsAction): void {
    switch (action.kind) {
      case 'decide':
        takeDecision(vm, owner, action.correlationId, action.decision);
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

  function takeDecision(
    vm: Vm,
    owner: Claims,
    question: number,
    decision: ClaimDecision,
  ): void {
    const request = questions.get(owner)?.get(question);
    if (!request) {
      throw new InvariantViolation(`a decision without a question: ${question}`);
    }
    questions.get(owner)!.delete(question);
    decisions.set(decision.kind, (decisions.get(decision.kind) ?? 0) + 1);
    switch (decision.kind) {
      case 'run':
        toSend.push({owner, vm, token: decision.token, request});
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
    const made = runs.get(request.key.idempotencyKey) ?? [];
    const own = run?.endsWith(` ${request.fingerprint}`);
    if (!run || !made.includes(run) || !own) {
      throw new InvariantViolation(`replayed ${run} for ${request.fingerprint}`);
    }
  }

  /** Neither this request nor one sent before it with the key has run. */
  function checkNotRun(request: ClaimRequest): void {
    const key = request.key.idempotencyKey;
    for (const other of asked) {
      if (other.key.idempotencyKey === key && ran.has(other.request)) {
        throw new InvariantViolation(`"not run" of ${key}, which ran`);
      }
      if (other === request) {
        return;
      }
    }
  }

  function checkReused(request: ClaimRequest): void {
    const others = asked.some(
      other =>
        other.key.idempotencyKey === request.key.idempotencyKey &&
        other.fingerprint !== request.fingerprint,
    );
    if (!others) {
      throw new InvariantViolation('refused as reused without another body');
    }
  }

  function ask(choice: number, key: string, fingerprint: string): void {
    lastRequest += 1;
    lastQuestion += 1;
    const request: ClaimRequest = {
      key: {workspace: WORKSPACE, service: SERVICE, idempotencyKey: key},
      request: requestId(`request-${lastRequest}`),
      fingerprint,
      deadlineMs: DEADLINE_MS,
      firstAttempt: !asked.some(other => other.key.idempotencyKey === key),
    };
    asked.push(request);
    const vm = pick(vms, choice)!;
    const open = questions.get(vm.claims) ?? new Map<number, ClaimRequest>();
    questions.set(vm.claims, open);
    open.set(lastQuestion, request);
    feed(vm, {kind: 'begin', correlationId: lastQuestion, request});
  }

  function resend(choice: number, fingerprint?: string): void {
    const before = pick(asked, choice >> 3);
    if (before) {
      const {key} = before;
      ask(choice, key.idempotencyKey, fingerprint ?? before.fingerprint);
    }
  }

  function apply(call: StoreCallInFlight): void {
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

  /** A lost call may still take effect later: it stays in flight, unheard. */
  function finishCall(choice: number, how: 'answer' | 'lose' | 'refuse'): void {
    const call = pick(calls, choice);
    if (!call) {
      return;
    }
    calls.splice(calls.indexOf(call), 1);
    const answer = resultOf(call, how, choice);
    if (call.vm.claims === call.owner && answer) {
      feed(call.vm, {kind: 'store-answered', call: call.call, result: answer});
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
    apply(call);
    return call.result;
  }

  function send(choice: number, how: 'answer' | 'lose' | 'not'): void {
    const sent = pick(toSend, choice);
    if (!sent) {
      return;
    }
    toSend.splice(toSend.indexOf(sent), 1);
    if (how === 'not') {
      endClaim(sent, {kind: 'not-run'});
      return;
    }
    const run = runAtTarget(sent.request);
    const answer = {status: 200, headers: {run}};
    endClaim(
      sent,
      how === 'answer' ? {kind: 'answered', answer} : {kind: 'unknown'},
    );
  }

  function runAtTarget(request: ClaimRequest): string {
    const key = request.key.idempotencyKey;
    const made = runs.get(key) ?? [];
    const run = `${key} ${made.length + 1} ${request.fingerprint}`;
    made.push(run);
    ran.add(request.request);
    runs.set(key, made);
    if (made.length > 1) {
      throw new InvariantViolation(`${key} ran ${made.length} times`);
    }
    return run;
  }

  function endClaim(
    sent: Sent,
    end: Extract<ClaimsEvent, {kind: 'end'}>['end'],
  ): void {
    // A VM that was killed after it sent cannot end its claim any more.
    if (sent.vm.claims === sent.owner) {
      lastQuestion += 1;
      const {token} = sent;
      feed(sent.vm, {kind: 'end', correlationId: lastQuestion, token, end});
    }
  }

  function deliver(choice: number): void {
    const found = pick(messages, choice);
    const vm = vms.find(({id}) => id === found?.to);
    if (!found || !vm) {
      return;
    }
    // Some stay in flight and are delivered again.
    if (choice % 5 !== 0) {
      messages.splice(messages.indexOf(found), 1);
    }
    const {from, message} = found;
    feed(vm, {kind: 'peer-message', from, message});
  }

  function lose<Item>(items: Item[], choice: number): void {
    const found = pick(items, choice);
    if (found !== undefined) {
      items.splice(items.indexOf(found), 1);
    }
  }

  /** What it had been told to run and had not sent is gone with it. */
  function restart(choice: number, what: 'vm' | 'task'): void {
    const vm = pick(vms, choice)!;
    vm.life += what === 'vm' ? 1 : 0;
    vm.taskLife = what === 'vm' ? 1 : vm.taskLife + 1;
    for (const sent of [...toSend]) {
      if (sent.vm === vm && what === 'vm') {
        toSend.splice(toSend.indexOf(sent), 1);
      }
    }
    vm.claims = machine(vm.id, vm.life, vm.taskLife);
  }

  /** Views may be wrong: safety must not rest on them. */
  function changeView(choice: number): void {
    const states: VmState[] = ['live', 'suspect', 'gone'];
    const entries = VM_IDS.map((id, index) => {
      const state = states[(choice >> (2 * index)) % states.length]!;
      const place = {region: regionName('riga'), zone: zoneName('a')};
      return [id, {vm: id, state, ...place}] as const;
    });
    const view: MembershipView = {
      atMs: nowMs,
      vms: new Map(entries),
      silentRegions: new Set(),
      selfDoubt: false,
    };
    feed(pick(vms, choice)!, {kind: 'membership-changed', view});
  }

  function step([kind, choice]: Step): void {
    switch (kind) {
      case 'request': {
        const key = pick(OWN_KEYS, choice >> 2)!;
        const before = asked.find(({key: old}) => old.idempotencyKey === key);
        ask(choice, key, before?.fingerprint ?? `body of ${key}`);
        return;
      }
      case 'request-with-ticket': {
        const ticket = pick(vms, choice)!.claims.mintTicket(time());
        ask(choice >> 2, ticket, `body of ${ticket}`);
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
          apply(call);
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
        feed(pick(vms, choice)!, {kind: 'tick'});
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
