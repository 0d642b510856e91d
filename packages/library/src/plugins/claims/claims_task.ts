/** Decides whether a non-idempotent operation may run. */
import {
  type ClaimDecision,
  type ClaimStoreCall,
  type ClaimsAction,
  type ClaimsEvent,
  type MembershipView,
  assertNever,
  isClaimExpired,
  claimPeerMessageSchema,
  createClaimSweep,
  createClaims,
} from '@ibisbeam/decision';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {TaskMessages, VmEvent} from '../../core/messages/index.js';
import {executeClaimStoreCall} from './store_calls.js';

const TICK_INTERVAL_MS = 100;
const SWEEP_CHECK_INTERVAL_MS = 1_000;
/** A tenth of the write rate that the platform's store accepts. */
const DEFERRED_WRITES_PER_SECOND = 40;

type EndReply = (answer: {readonly recorded: boolean}) => void;

/**
 * @param epoch Number of this task instance within the process, from 1; a
 *   restarted task gets the next one.
 */
export function createClaimsTask(
  context: TaskContext,
  epoch: number,
): Task<'claims'> {
  const {settings, timers, logger, metrics, platform} = context;
  const claims = createClaims({
    vm: settings.vm.id,
    incarnation: context.incarnation,
    epoch,
    random: context.random,
    maximumRecordedBytes: settings.claims.maximumRecordedBytes,
    deferredWritesPerSecond: DEFERRED_WRITES_PER_SECOND,
  });
  const sweep = createClaimSweep(settings.vm.id, settings.claims.retentionMs);
  const pendingBegins = new Map<number, (decision: ClaimDecision) => void>();
  const pendingEnds = new Map<number, EndReply>();
  let lastCorrelationId = 0;
  let view: MembershipView | undefined;
  let stopped = false;
  const timerCancellations: (() => void)[] = [];

  function readClocks() {
    return {nowMs: timers.nowMs(), wallMs: timers.wallMs()};
  }

  function step(event: ClaimsEvent): void {
    if (stopped) {
      return;
    }
    for (const action of claims.step(event, readClocks())) {
      perform(action);
    }
  }

  function perform(action: ClaimsAction): void {
    switch (action.kind) {
      case 'decide':
        replyToBegin(action);
        return;
      case 'ended':
        pendingEnds.get(action.correlationId)?.({recorded: action.recorded});
        pendingEnds.delete(action.correlationId);
        return;
      case 'call-store':
        void runStoreCall(action.call, action.operation);
        return;
      case 'send':
        context.post('peer_links', {
          kind: 'send',
          to: action.to,
          channel: 'claims',
          body: action.message,
        });
        return;
      case 'note':
        logger.log('warn', 'claim-unresolved', {note: action.note});
        return;
      default:
        assertNever(action);
    }
  }

  function replyToBegin(action: Extract<ClaimsAction, {kind: 'decide'}>): void {
    const {correlationId, decision} = action;
    const tags = {decision: decision.kind};
    metrics.emit({kind: 'count', name: 'claim.decisions', tags});
    pendingBegins.get(correlationId)?.(decision);
    pendingBegins.delete(correlationId);
  }

  async function runStoreCall(
    callId: number,
    operation: ClaimStoreCall,
  ): Promise<void> {
    const result = await executeClaimStoreCall(platform, operation);
    step({kind: 'store-answered', call: callId, result});
  }

  async function deleteExpiredClaims(): Promise<void> {
    const prefix = sweep.nextShardPrefix(view, timers.nowMs());
    if (prefix === undefined) {
      return;
    }
    const options = {purpose: 'claim-collection'} as const;
    const listed = await platform.list(prefix, options).run();
    const objects = listed.toMaybe().extract()?.objects ?? [];
    let deleted = 0;
    for (const {key, version, value} of objects) {
      if (stopped) {
        return;
      }
      const {retentionMs} = settings.claims;
      if (isClaimExpired(value, retentionMs, timers.wallMs())) {
        const result = await platform.delete(key, version, options).run();
        deleted += result.isRight() ? 1 : 0;
      }
    }
    if (deleted > 0) {
      logger.log('info', 'claims-collected', {prefix, deleted});
    }
  }

  function receive(message: TaskMessages['claims']): void {
    switch (message.kind) {
      case 'begin': {
        const correlationId = (lastCorrelationId += 1);
        pendingBegins.set(correlationId, message.reply);
        step({
          kind: 'begin',
          correlationId,
          request: message.request,
        });
        return;
      }
      case 'end': {
        const correlationId = (lastCorrelationId += 1);
        pendingEnds.set(correlationId, message.reply);
        step({
          kind: 'end',
          correlationId,
          token: message.token,
          end: message.end,
        });
        return;
      }
      case 'mint-ticket':
        message.reply(claims.mintTicket(readClocks()));
        return;
      case 'status':
        message.reply(claims.status());
        return;
      default:
        assertNever(message);
    }
  }

  function handlePeerMessage(
    event: Extract<VmEvent, {kind: 'peer-message'}>,
  ): void {
    if (event.channel !== 'claims') {
      return;
    }
    const parsed = claimPeerMessageSchema.safeParse(event.body);
    if (!parsed.success) {
      const tags = {cause: 'claims-message'};
      metrics.emit({kind: 'count', name: 'peer.rejected', tags});
      return;
    }
    step({kind: 'peer-message', from: event.from, message: parsed.data});
  }

  return {
    start: async () => {
      const ticks = timers.every(TICK_INTERVAL_MS, () => step({kind: 'tick'}));
      const sweeps = timers.every(
        SWEEP_CHECK_INTERVAL_MS,
        () => void deleteExpiredClaims(),
      );
      timerCancellations.push(
        () => ticks.cancel(),
        () => sweeps.cancel(),
      );
    },
    stop: async () => {
      stopped = true;
      for (const cancel of timerCancellations) {
        cancel();
      }
    },
    receive,
    observe: event => {
      if (event.kind === 'membership-changed') {
        view = event.view;
        step({kind: 'membership-changed', view});
      } else if (event.kind === 'peer-message') {
        handlePeerMessage(event);
      }
    },
  };
}
