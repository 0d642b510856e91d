/**
 * Simulation of VMs that run the real roll-out state machine against a fake
 * store, driven by generated steps. Each `accept` step adds a generation to the
 * store.
 */
import {
  type ConfigurationHead,
  type ConfigurationPeerMessage,
  type Generation,
  type ManifestEntry,
  type Rollout,
  type RolloutAction,
  type RolloutEvent,
  type RolloutOptions,
  type Section,
  type VmId,
  canonicalJson,
  chunkDigest,
  createRollout,
  generation,
  regionName,
  vmId,
  zoneName,
} from '../../src/index.js';
import {InvariantViolation} from './claims_simulation.js';

const VM_IDS = ['a', 'b', 'c', 'd'].map(vmId);
const STALE_AFTER_MS = 30_000;

export const ROLLOUT_STEP_KINDS = [
  'accept',
  'store-answers',
  'store-refuses',
  'store-answers-old',
  'peer-delivers',
  'peer-loses',
  'peer-repeats',
  'link-opens',
  'link-closes',
  'tick',
  'time-passes',
  'vm-replaced',
] as const;
export type RolloutStepKind = (typeof ROLLOUT_STEP_KINDS)[number];
export type RolloutStep = readonly [RolloutStepKind, number];
export type CreateRollout = (options: RolloutOptions) => Rollout;

interface Vm {
  readonly id: VmId;
  rollout: Rollout;
  inForce: number;
}

interface StoreCall {
  readonly vm: Vm;
  readonly owner: Rollout;
  readonly requestedAtMs: number;
  /** Absent for a read of the head. */
  readonly digest?: string;
}

interface Message {
  readonly from: VmId;
  readonly to: VmId;
  readonly message: ConfigurationPeerMessage;
}

export interface RolloutSimulation {
  step(step: RolloutStep): void;
  /**
   * Answers all calls and delivers all messages for 60 rounds.
   *
   * @throws InvariantViolation if a VM does not run the newest generation.
   */
  settle(): void;
  readonly reached: ReadonlyMap<string, number>;
}

export function createRolloutSimulation(
  createMachine: CreateRollout = createRollout,
): RolloutSimulation {
  const chunks = new Map<string, string>();
  const heads: ConfigurationHead[] = [];
  const calls: StoreCall[] = [];
  const messages: Message[] = [];
  const links = new Set<string>();
  const reached = new Map<string, number>();
  let nowMs = 1_000_000;
  publishGeneration(0);
  const vms: Vm[] = VM_IDS.map(id => ({
    id,
    rollout: createStateMachine(id),
    inForce: -1,
  }));
  for (const vm of vms) {
    handleEvent(vm, {kind: 'started'});
  }

  function createStateMachine(id: VmId): Rollout {
    return createMachine({
      vm: id,
      region: regionName('riga'),
      zone: zoneName('a'),
      staleAfterMs: STALE_AFTER_MS,
      announceIntervalMs: 1_000,
    });
  }

  function countReached(what: string): void {
    reached.set(what, (reached.get(what) ?? 0) + 1);
  }

  function publishGeneration(choice: number): void {
    const next = generation((heads.at(-1)?.generation ?? 0) + 1);
    const sections: [string, Section][] = [
      [
        'topology',
        {
          kind: 'topology',
          topology: {
            regions: [{name: regionName('riga'), zones: [zoneName('a')]}],
            links: [],
            entryVms: [],
          },
        },
      ],
      [`client-blocks/${choice % 3}`, blocks(choice % 3, next)],
    ];
    const manifest = new Map<string, ManifestEntry>();
    for (const entry of heads.at(-1)?.manifest ?? []) {
      manifest.set(entry.section, entry);
    }
    for (const [section, content] of sections) {
      const text = canonicalJson(content);
      const digest = chunkDigest(text);
      chunks.set(digest, text);
      manifest.set(section, {section, digest, bytes: text.length});
    }
    heads.push({
      generation: next,
      manifest: [...manifest.values()],
      writes: [],
    });
  }

  function blocks(shard: number, next: Generation): Section {
    return {
      kind: 'client-blocks',
      shard: String(shard),
      blocks: {[regionName('riga')]: `10.0.${next % 250}.0/24`},
    };
  }

  function handleEvent(vm: Vm, event: RolloutEvent): void {
    const {rollout} = vm;
    for (const action of rollout.step(event, nowMs)) {
      perform(vm, rollout, action);
    }
  }

  function perform(vm: Vm, owner: Rollout, action: RolloutAction): void {
    switch (action.kind) {
      case 'read-head':
        calls.push({vm, owner, requestedAtMs: nowMs});
        return;
      case 'read-chunk':
        calls.push({vm, owner, requestedAtMs: nowMs, digest: action.digest});
        return;
      case 'send':
        if (links.has(linkName(vm.id, action.to))) {
          messages.push({from: vm.id, to: action.to, message: action.message});
        }
        return;
      case 'in-force':
        putInForce(vm, action.configuration.generation);
        return;
      case 'freshness':
        countReached(`freshness ${action.cause}`);
        return;
      case 'note':
        countReached(action.note.kind);
        return;
      case 'watch':
        return;
    }
  }

  function putInForce(vm: Vm, next: Generation): void {
    if (next <= vm.inForce) {
      throw new InvariantViolation(
        `${vm.id} fell from ${vm.inForce} to ${next}`,
      );
    }
    const head = heads.find(accepted => accepted.generation === next);
    if (!head) {
      throw new InvariantViolation(`generation ${next} was never accepted`);
    }
    vm.inForce = next;
    countReached('in force');
  }

  function answer(call: StoreCall, head: ConfigurationHead): void {
    calls.splice(calls.indexOf(call), 1);
    if (call.vm.rollout !== call.owner) {
      return;
    }
    const {requestedAtMs, digest} = call;
    handleEvent(
      call.vm,
      digest === undefined
        ? {kind: 'store-head', head, requestedAtMs}
        : {kind: 'chunk-read', digest, text: chunks.get(digest)},
    );
  }

  function refuse(call: StoreCall): void {
    calls.splice(calls.indexOf(call), 1);
    if (call.vm.rollout !== call.owner) {
      return;
    }
    const {digest} = call;
    handleEvent(
      call.vm,
      digest === undefined
        ? {kind: 'store-failed'}
        : {kind: 'chunk-read', digest, text: undefined},
    );
  }

  function deliver(found: Message): void {
    const vm = vms.find(({id}) => id === found.to)!;
    const {from, message} = found;
    handleEvent(vm, {kind: 'peer-message', from, message});
  }

  function setLink(choice: number, open: boolean): void {
    const one = pick(vms, choice)!;
    const other = pick(vms, choice >> 2)!;
    const name = linkName(one.id, other.id);
    if (one === other || links.has(name) === open) {
      return;
    }
    if (open) {
      links.add(name);
    } else {
      links.delete(name);
    }
    const kind = open ? 'peer-connected' : 'peer-disconnected';
    handleEvent(one, {kind, peer: other.id});
    handleEvent(other, {kind, peer: one.id});
  }

  function replace(choice: number): void {
    const vm = pick(vms, choice)!;
    for (const other of vms) {
      if (links.delete(linkName(vm.id, other.id))) {
        handleEvent(other, {kind: 'peer-disconnected', peer: vm.id});
      }
    }
    vm.rollout = createStateMachine(vm.id);
    vm.inForce = -1;
    handleEvent(vm, {kind: 'started'});
  }

  function step([kind, choice]: RolloutStep): void {
    const call = pick(calls, choice);
    const message = pick(messages, choice);
    switch (kind) {
      case 'accept':
        publishGeneration(choice);
        return;
      case 'store-answers':
        if (call) {
          answer(call, heads.at(-1)!);
        }
        return;
      case 'store-answers-old':
        // A slow call returns a head that is up to two generations old.
        if (call) {
          answer(call, heads[Math.max(0, heads.length - 1 - (choice % 3))]!);
        }
        return;
      case 'store-refuses':
        if (call) {
          refuse(call);
        }
        return;
      case 'peer-delivers':
      case 'peer-repeats':
        if (message) {
          deliver(message);
          if (kind === 'peer-delivers') {
            messages.splice(messages.indexOf(message), 1);
          }
        }
        return;
      case 'peer-loses':
        if (message) {
          messages.splice(messages.indexOf(message), 1);
        }
        return;
      case 'link-opens':
        setLink(choice, true);
        return;
      case 'link-closes':
        setLink(choice, false);
        return;
      case 'tick':
        handleEvent(pick(vms, choice)!, {kind: 'tick'});
        return;
      case 'time-passes':
        nowMs += 1 + (choice % STALE_AFTER_MS);
        return;
      case 'vm-replaced':
        replace(choice);
        return;
    }
  }

  function settle(): void {
    for (let round = 0; round < 60; round += 1) {
      nowMs += 2_500;
      for (const vm of vms) {
        handleEvent(vm, {kind: 'tick'});
      }
      for (let turn = 0; turn < 20; turn += 1) {
        for (const call of [...calls]) {
          answer(call, heads.at(-1)!);
        }
        for (const message of messages.splice(0)) {
          deliver(message);
        }
      }
    }
    const newest = heads.at(-1)!.generation;
    for (const vm of vms) {
      if (vm.inForce !== newest) {
        throw new InvariantViolation(
          `${vm.id} stays at ${vm.inForce} instead of ${newest}`,
        );
      }
    }
  }

  return {step, settle, reached};
}

function linkName(one: VmId, other: VmId): string {
  return one < other ? `${one} ${other}` : `${other} ${one}`;
}

function pick<Item>(items: readonly Item[], choice: number): Item | undefined {
  return items[choice % Math.max(1, items.length)];
}
