/**
 * Registers this VM in the platform's store and discovers peers from the
 * objects of other VMs. Objects of VMs that are gone stay in the store, so a
 * listed VM counts as live only once it has been reached.
 */
import {createRegistrationAges} from '@ibisbeam/decision';
import type {
  Logger,
  ObjectSelection,
  PlatformObject,
  PlatformStore,
  TimerHandle,
  TimerService,
} from '@ibisbeam/library';
import {type VmRecord, vmRecordSchema} from './messages.js';
import type {PeerMesh} from './peer_mesh.js';

export interface VmRegistration {
  start(): void;
  /** Registers again: the store may have lost the registration. */
  renew(): void;
  stop(): void;
}

export interface VmRegistrationOptions {
  readonly self: VmRecord;
  readonly store: PlatformStore;
  /** Object kind of VM registrations. */
  readonly kind: string;
  readonly timers: TimerService;
  readonly log: Logger;
  readonly mesh: PeerMesh;
}

const LIST_INTERVAL_MS = 15_000;
const RETRY_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 1_500;
/** Objects that other writers have left among the registrations are left out. */
const VM_RECORDS: ObjectSelection = {
  limits: {bytes: 8_192, values: 100, depth: 8},
  select: ({content}) => {
    const parsed =
      content.kind === 'value'
        ? vmRecordSchema.safeParse(content.value)
        : undefined;
    return parsed?.success ? {value: parsed.data} : undefined;
  },
};
/** Registrations of VMs that are silent for longer are removed. */
const REGISTRATION_LIFETIME_MS = 600_000;

export function createVmRegistration(
  options: VmRegistrationOptions,
): VmRegistration {
  const {self, store, kind, timers, log, mesh} = options;
  const ownKey = `${kind}/${self.id}`;
  const callOptions = {
    purpose: 'vm-registration',
    timeoutMs: CALL_TIMEOUT_MS,
  } as const;
  const ages = createRegistrationAges(REGISTRATION_LIFETIME_MS);
  let registered = false;
  /** Whether a current list has been read since the last registration. */
  let hasCurrentList = false;
  let timer: TimerHandle | undefined;
  let stopped = false;
  let isRefreshing = false;

  async function register(): Promise<void> {
    const created = await store.create(ownKey, self, callOptions).run();
    const error = created.swap().toMaybe().extract();
    if (error?.kind === 'conflict' && error.current) {
      const replaced = await store
        .update(ownKey, error.current.version, self, callOptions)
        .run();
      registered = replaced.isRight();
      return;
    }
    registered = created.isRight();
    if (error) {
      log.log('info', 'registration-failed', {
        cause: 'cause' in error ? error.cause : error.kind,
      });
    }
  }

  /** Returns whether the store has answered. */
  async function addPeersFromStore(mayBeStale: boolean): Promise<boolean> {
    const listed = await store
      .list(kind, {...callOptions, mayBeStale, selection: VM_RECORDS})
      .run();
    return listed.caseOf({
      Left: async () => false,
      Right: async ({objects}) => {
        mesh.addPeers(objects.flatMap(readRecord));
        const isListed = objects.some(({key}) => key === ownKey);
        if (mayBeStale && !isListed) {
          return addPeersFromStore(false);
        }
        hasCurrentList ||= !mayBeStale;
        // Another VM may have taken this one for gone, or the store lost it.
        registered &&= isListed;
        void removeStale(objects);
        return true;
      },
    });
  }

  /** Removes at most one at a time, as all VMs do the same. */
  async function removeStale(
    objects: readonly PlatformObject[],
  ): Promise<void> {
    const heard = new Set(
      mesh.peersHeardWithin(LIST_INTERVAL_MS).map(vm => `${kind}/${vm.id}`),
    );
    heard.add(ownKey);
    const [stale] = ages.findStale(
      objects.map(({key}) => key),
      heard,
      timers.nowMs(),
    );
    const object = objects.find(({key}) => key === stale);
    // A VM that hears from nobody may be the one that is cut off.
    if (!object || heard.size === 1) {
      return;
    }
    log.log('info', 'registration-removed', {peer: object.key});
    // A VM that has registered again meanwhile has another version.
    await store.delete(object.key, object.version, callOptions).run();
  }

  async function refresh(): Promise<void> {
    isRefreshing = true;
    timer?.cancel();
    if (!registered) {
      await register();
    }
    // Later lists only bring up peers that no other peer has told of.
    const listed = await addPeersFromStore(hasCurrentList);
    isRefreshing = false;
    if (stopped) {
      return;
    }
    const pauseMs = registered && listed ? LIST_INTERVAL_MS : RETRY_INTERVAL_MS;
    timer = timers.after(pauseMs, () => void refresh());
  }

  return {
    start: () => void refresh(),
    renew: () => {
      registered = false;
      hasCurrentList = false;
      // A refresh that is under way sees it when it ends.
      if (!isRefreshing && !stopped) {
        void refresh();
      }
    },
    stop: () => {
      stopped = true;
      timer?.cancel();
    },
  };
}

function readRecord(object: PlatformObject): readonly VmRecord[] {
  const parsed = vmRecordSchema.safeParse(object.value);
  return parsed.success ? [parsed.data] : [];
}
