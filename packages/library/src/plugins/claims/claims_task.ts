/** The task that answers whether an operation may run. */
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
import {callStore} from './store_calls.js';

const TICK_INTERVAL_MS = 100;
const SWEEP_CHECK_INTERVAL_MS = 1_000;
/** A tenth of what the platform's store takes. */
const LATE_WRITES_PER_SECOND = 40;

type EndReply = (answer: {readonly recorded: boolean}) => void;

/** @param life Counts the lives of this task within the process, from 1. */
export function createClaimsTask(
  context: TaskContext,
  life: number,
): Task<'claims'> {
  const {settings, timers, logger, metrics, platform} = context;
  const claims = createClaims({
    vm: settings.vm.id,
    incarnation: context.incarnation,
    epoch: life,
    random: context.random,
    maximumRecordedBytes: settings.claims.maximumRecordedBytes,
    deferredWritesPerSecond: LATE_WRITES_PER_SECOND,
  });
  const sweep = createClaimSweep(settings.vm.id, settings.claims.retentionMs);
  const begins = new Map<number, (decision: ClaimDecision) => void>();
  const ends = new Map<number, EndReply>();
  let lastQuestion = 0;
  let view: MembershipView | undefined;
  let stopped = false;
  const cancels: (() => void)[] = [];

  function time() {
    return {nowMs: timers.nowMs(), wallMs: timers.wallMs()};
  }

  function step(event: ClaimsEvent): void {
    if (stopped) {
      return;
    }
    for (const action of claims.step(event, time())) {
      perform(action);
    }
  }

  function perform(action: ClaimsAction): void {
    switch (action.kind) {
      case 'decide':
        answerBegin(action);
        return;
      case 'ended':
        ends.get(action.correlationId)?.({recorded: action.recorded});
        ends.delete(action.correlationId);
        return;
      case 'call-store':
        void call(action.call, action.operation);
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

  function answerBegin(action: Extract<ClaimsAction, {kind: 'decide'}>): void {
    const {correlationId: question, decision} = action;
    const tags = {decision: decision.kind};
    metrics.emit({kind: 'count', name: 'claim.decisions', tags});
    begins.get(question)?.(decision);
    begins.delete(question);
  }

  async function call(
    number: number,
    operation: ClaimStoreCall,
  ): Promise<void> {
    const result = await callStore(platform, operation);
    step({kind: 'store-answered', call: number, result});
  }

  async function collect(): Promise<void> {
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
        const question = (lastQuestion += 1);
        begins.set(question, message.reply);
        step({
          kind: 'begin',
          correlationId: question,
          request: message.request,
        });
        return;
      }
      case 'end': {
        const question = (lastQuestion += 1);
        ends.set(question, message.reply);
        step({
          kind: 'end',
          correlationId: question,
          token: message.token,
          end: message.end,
        });
        return;
      }
      case 'mint-ticket':
        message.reply(claims.mintTicket(time()));
        return;
      case 'status':
        message.reply(claims.status());
        return;
      default:
        assertNever(message);
    }
  }

  function takePeerMessage(
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
        () => void collect(),
      );
      cancels.push(
        () => ticks.cancel(),
        () => sweeps.cancel(),
      );
    },
    stop: async () => {
      stopped = true;
      for (const cancel of cancels) {
        cancel();
      }
    },
    receive,
    observe: event => {
      if (event.kind === 'membership-changed') {
        view = event.view;
        step({kind: 'membership-changed', view});
      } else if (event.kind === 'peer-message') {
        takePeerMessage(event);
      }
    },
  };
}
