/** Maintains the membership view of the entry VMs. */
import {
  type EntryVm,
  type Generation,
  type MembershipAction,
  type MembershipEvent,
  type MembershipNote,
  type VmId,
  assertNever,
  heartbeatSchema,
  createMembership,
} from '@ibisbeam/decision';
import {queryConfiguredEntryVms} from '../../core/configuration/index.js';
import type {Task, TaskContext} from '../../core/kernel/index.js';
import type {TaskMessages, VmEvent} from '../../core/messages/index.js';

const MILLISECONDS_PER_SECOND = 1_000;

export function createMembershipTask(context: TaskContext): Task<'membership'> {
  const {settings, timers, logger, metrics, platform} = context;
  const {heartbeatIntervalMs, suspectAfterMs} = settings.membership;
  const membership = createMembership({
    vm: settings.vm.id,
    region: settings.vm.region,
    zone: settings.vm.zone,
    incarnation: context.incarnation,
    startedAtSeconds: Math.floor(timers.wallMs() / MILLISECONDS_PER_SECOND),
    heartbeatIntervalMs,
    suspectAfterMs,
    listIntervalMs: settings.platform.vmListIntervalMs,
  });
  let stopped = false;
  let cancelTick = () => {};

  function step(event: MembershipEvent): void {
    if (stopped) {
      return;
    }
    for (const action of membership.step(event, timers.nowMs())) {
      perform(action);
    }
  }

  function perform(action: MembershipAction): void {
    switch (action.kind) {
      case 'send':
        context.post('peer_links', {
          kind: 'send',
          to: action.to,
          channel: 'membership',
          body: action.beat,
        });
        return;
      case 'links-wanted':
        context.post('peer_links', {
          kind: 'set-peers',
          peers: action.peers,
        });
        return;
      case 'list-vms':
        void listVms();
        return;
      case 'view-changed':
        publishView(action);
        return;
      case 'note':
        logNote(action.note);
        return;
      default:
        assertNever(action);
    }
  }

  async function listVms(): Promise<void> {
    const listed = await platform.listVms({purpose: 'vm-list'}).run();
    listed.ifRight(vms => step({kind: 'platform-list', vms}));
  }

  function publishView(
    action: Extract<MembershipAction, {kind: 'view-changed'}>,
  ): void {
    let live = 0;
    for (const vm of action.view.vms.values()) {
      live += vm.state === 'live' ? 1 : 0;
    }
    metrics.emit({kind: 'gauge', name: 'membership.live', value: live});
    context.publish({kind: 'membership-changed', view: action.view});
  }

  function logNote(note: MembershipNote): void {
    switch (note.kind) {
      case 'vm-state-changed':
        logger.log('info', 'vm-state-changed', {
          vm: note.vm,
          state: note.state,
          incarnation: note.incarnation,
        });
        return;
      case 'self-doubt':
        logger.log('warn', 'self-doubt', {
          doubting: note.doubting,
          cause: note.cause,
        });
        return;
      default:
        assertNever(note);
    }
  }

  function handleHeartbeat(
    event: Extract<VmEvent, {kind: 'peer-message'}>,
  ): void {
    if (event.channel !== 'membership') {
      return;
    }
    const parsed = heartbeatSchema.safeParse(event.body);
    if (!parsed.success) {
      const tags = {cause: 'membership-message'};
      metrics.emit({kind: 'count', name: 'peer.rejected', tags});
      return;
    }
    step({kind: 'beat', from: event.from, beat: parsed.data});
  }

  function applyConfiguration(
    generation: Generation,
    entryVms: Iterable<EntryVm>,
  ): void {
    step({kind: 'generation', generation});
    step({kind: 'configured', entryVms});
  }

  /** Catches up on the links and the configuration that precede a restart. */
  async function loadCurrentState(): Promise<void> {
    const linkedPeers = await context.ask<'peer_links', readonly VmId[]>(
      'peer_links',
      reply => ({kind: 'status', reply}),
    );
    for (const peer of linkedPeers ?? []) {
      step({kind: 'peer-connected', peer});
    }
    const known = await queryConfiguredEntryVms(context);
    if (known) {
      applyConfiguration(known.generation, known.entryVms);
    }
  }

  function observe(event: VmEvent): void {
    switch (event.kind) {
      case 'peer-connected':
      case 'peer-disconnected':
        step({kind: event.kind, peer: event.peer});
        return;
      case 'peer-message':
        handleHeartbeat(event);
        return;
      case 'configuration-in-force':
        applyConfiguration(
          event.configuration.generation,
          event.configuration.entryVms.values(),
        );
        return;
      case 'stop-began':
        step({kind: 'stop-began'});
        return;
      default:
        return;
    }
  }

  return {
    start: async () => {
      step({kind: 'started'});
      const handle = timers.every(heartbeatIntervalMs / 2, () =>
        step({kind: 'tick'}),
      );
      cancelTick = () => handle.cancel();
      await loadCurrentState();
    },
    stop: async () => {
      stopped = true;
      cancelTick();
    },
    receive: (message: TaskMessages['membership']) => {
      message.reply(membership.view(timers.nowMs()));
    },
    observe,
  };
}
