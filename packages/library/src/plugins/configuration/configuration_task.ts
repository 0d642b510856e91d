/** Rolls out new configurations to this VM and tracks their freshness. */
import {
  type RolloutAction,
  CONFIGURATION_CHUNK_PREFIX,
  type Generation,
  type MembershipView,
  type RolloutEvent,
  type VmId,
  assertNever,
  configurationPeerMessageSchema,
  createRollout,
  rankByRendezvous,
} from '@ibisbeam/decision';
import {
  verifyChunkText,
  collectUnusedChunks,
} from '../../core/configuration/index.js';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {
  ConfigurationStatus,
  TaskMessages,
  VmEvent,
} from '../../core/messages/index.js';
import {createHeadWatch} from './head_watch.js';

const TICK_INTERVAL_MS = 250;
/** Interval of deleting chunks that no configuration refers to. */
const COLLECTION_INTERVAL_MS = 6 * 3_600_000;
/**
 * Watch calls that fit into `staleAfterMs`, so that one failed call does not make
 * the configuration stale.
 */
const WATCHES_PER_STALENESS_BOUND = 3;

/** Kept across restarts of the task, so that its generation never decreases. */
export interface MinimumGeneration {
  generation?: Generation;
}

export function createConfigurationTask(
  context: TaskContext,
  minimum: MinimumGeneration = {},
): Task<'configuration'> {
  const {settings, timers, logger, metrics, platform} = context;
  const {staleAfterMs} = settings.configuration;
  const rollout = createRollout({
    vm: settings.vm.id,
    region: settings.vm.region,
    zone: settings.vm.zone,
    staleAfterMs,
    // Changes are announced immediately; this interval repeats them.
    announceIntervalMs: 2 * settings.membership.heartbeatIntervalMs,
    minimumGeneration: minimum.generation,
  });
  const headWatch = createHeadWatch({
    platform,
    timers,
    random: context.random,
    waitMs: Math.min(
      settings.platform.watchWaitMs,
      staleAfterMs / WATCHES_PER_STALENESS_BOUND,
    ),
    onHead: (head, requestedAtMs) => {
      updateStoreReachability(true);
      step({kind: 'store-head', head, requestedAtMs});
    },
    onFailed: cause => {
      updateStoreReachability(false, cause);
      step({kind: 'store-failed'});
    },
    onWatchGap: () =>
      logger.log('warn', 'watch-gap', {prefix: 'configuration'}),
  });
  let storeReachable: boolean | undefined;
  let inForceSinceWallMs: number | undefined;
  let stopped = false;
  let view: MembershipView | undefined;
  let cancelTimers = () => {};

  function updateStoreReachability(reachable: boolean, cause?: string): void {
    if (reachable === storeReachable) {
      return;
    }
    storeReachable = reachable;
    const event = reachable ? 'store-reachable' : 'store-unreachable';
    logger.log(reachable ? 'info' : 'warn', event, {cause});
    context.publish({kind: 'store-reachability', reachable});
  }

  function step(event: RolloutEvent): void {
    if (stopped) {
      return;
    }
    for (const action of rollout.step(event, timers.nowMs())) {
      perform(action);
    }
  }

  function perform(action: RolloutAction): void {
    switch (action.kind) {
      case 'watch':
        headWatch.setEnabled(action.enabled);
        return;
      case 'read-head':
        void headWatch.readOnce();
        return;
      case 'read-chunk':
        void readChunk(action.digest);
        return;
      case 'send':
        context.post('peer_links', {
          kind: 'send',
          to: action.to,
          channel: 'configuration',
          body: action.message,
        });
        return;
      case 'in-force':
        publishInForce(action);
        return;
      case 'freshness':
        publishFreshness(action);
        return;
      case 'note':
        logRejection(action.note);
        return;
      default:
        assertNever(action);
    }
  }

  async function readChunk(digest: string): Promise<void> {
    const read = await platform
      .read(`${CONFIGURATION_CHUNK_PREFIX}${digest}`, {
        purpose: 'configuration-read',
      })
      .run();
    const text = read
      .toMaybe()
      .chain(object => verifyChunkText(object).toMaybe());
    step({kind: 'chunk-read', digest, text: text.extract()});
  }

  /**
   * Runs on the live VM that ranks first by rendezvous hashing. Views may
   * differ between VMs; it is safe if two of them do it.
   */
  async function deleteUnusedChunks(): Promise<void> {
    const live: VmId[] = [];
    for (const {vm, state} of view?.vms.values() ?? []) {
      if (state === 'live') {
        live.push(vm);
      }
    }
    if (rankByRendezvous('chunk-collection', live)[0] === settings.vm.id) {
      await collectUnusedChunks(platform, timers.wallMs()).run();
    }
  }

  function publishInForce(
    action: Extract<RolloutAction, {kind: 'in-force'}>,
  ): void {
    const {configuration} = action;
    const {generation} = configuration;
    minimum.generation = generation;
    inForceSinceWallMs = timers.wallMs();
    metrics.emit({
      kind: 'gauge',
      name: 'configuration.generation',
      value: generation,
    });
    logger.log('info', 'configuration-in-force', {generation});
    context.publish({kind: 'configuration-in-force', configuration});
    for (const hook of context.hooks.configurationInForce) {
      hook(generation);
    }
  }

  function publishFreshness(
    action: Extract<RolloutAction, {kind: 'freshness'}>,
  ): void {
    const {fresh, cause} = action;
    const current = cause === 'current';
    metrics.emit({
      kind: 'gauge',
      name: 'configuration.stale',
      value: current ? 0 : 1,
    });
    const event = current ? 'configuration-fresh' : 'configuration-stale';
    logger.log(current ? 'info' : 'warn', event, {fresh, cause});
    context.publish({kind: 'freshness-changed', fresh, why: cause});
  }

  function logRejection(
    note: Extract<RolloutAction, {kind: 'note'}>['note'],
  ): void {
    logger.log('error', 'configuration-rejected', {...note, cause: note.kind});
  }

  function status(): ConfigurationStatus {
    const rolloutStatus = rollout.status(timers.nowMs());
    return {
      generation: rolloutStatus.generation,
      inForceSinceWallMs,
      newestHeard: rolloutStatus.newestHeard,
      watching: rolloutStatus.watching,
      fresh: rolloutStatus.cause === 'current',
      why: rolloutStatus.cause,
      document: rolloutStatus.document,
    };
  }

  return {
    start: async () => {
      const ticks = timers.every(TICK_INTERVAL_MS, () => step({kind: 'tick'}));
      const collections = timers.every(
        COLLECTION_INTERVAL_MS,
        () => void deleteUnusedChunks(),
      );
      cancelTimers = () => {
        ticks.cancel();
        collections.cancel();
      };
      step({kind: 'started'});
      const linkedPeers = await context.ask<'peer_links', readonly VmId[]>(
        'peer_links',
        reply => ({kind: 'status', reply}),
      );
      for (const peer of linkedPeers ?? []) {
        step({kind: 'peer-connected', peer});
      }
      const view = await context.ask<'membership', MembershipView | undefined>(
        'membership',
        reply => ({kind: 'view', reply}),
      );
      if (view) {
        step({kind: 'membership-changed', view});
      }
    },
    stop: async () => {
      stopped = true;
      cancelTimers();
      headWatch.stop();
    },
    receive: (message: TaskMessages['configuration']) => {
      message.reply(status());
    },
    observe: (event: VmEvent) => {
      switch (event.kind) {
        case 'peer-connected':
        case 'peer-disconnected':
          step({kind: event.kind, peer: event.peer});
          return;
        case 'membership-changed':
          view = event.view;
          step({kind: 'membership-changed', view});
          return;
        case 'peer-message':
          handlePeerMessage(event);
          return;
        default:
          return;
      }
    },
  };

  function handlePeerMessage(
    event: Extract<VmEvent, {kind: 'peer-message'}>,
  ): void {
    if (event.channel !== 'configuration') {
      return;
    }
    const parsed = configurationPeerMessageSchema.safeParse(event.body);
    if (!parsed.success) {
      const tags = {cause: 'configuration-message'};
      metrics.emit({kind: 'count', name: 'peer.rejected', tags});
      return;
    }
    step({kind: 'peer-message', from: event.from, message: parsed.data});
  }
}
