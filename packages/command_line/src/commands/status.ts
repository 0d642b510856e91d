import {describeScope} from '@ibisbeam/decision';
import {
  type PoolStatusResponse,
  type StatusResponse,
  statusResponseSchema,
} from '@ibisbeam/library';
import {EitherAsync} from 'purify-ts';
import {defineCommand} from '../core/command.js';
import {readAccepted} from '../core/configuration_access.js';
import {callAnyPort, gatherLoad} from '../core/operator_client.js';
import {
  formatTimestamp,
  formatPercent,
  formatDuration,
  formatTable,
} from '@ibisbeam/library';

/** Shows the status of one VM; with `--all` also the load of every VM. */
export const statusCommand = defineCommand({
  command: 'status',
  describe: 'Show the fleet as one VM sees it, and what that VM cannot know',
  options: builder =>
    builder.option('all', {
      type: 'boolean',
      default: false,
      describe: 'Query every VM of the configuration for its slots in use',
    }),
  run: (session, {all}) =>
    EitherAsync(async ({fromPromise}) => {
      const status = await fromPromise(
        callAnyPort(session, {
          path: '/v1/status',
          schema: statusResponseSchema,
        }).run(),
      );
      if (!all) {
        const text = describeStatus(status, status.pools, status.unknown);
        return {text, data: status};
      }
      const accepted = await fromPromise(readAccepted(session).run());
      const fleet = await gatherLoad(session, accepted.configuration);
      const pools = sumPools(fleet.statuses.flatMap(({pools}) => pools));
      const unknown = [
        ...status.unknown.filter(text => !text.startsWith('Slots in use at')),
        ...fleet.unknown.map(
          ({vm, cause}) => `Slots in use at VM ${vm}: ${cause}.`,
        ),
      ];
      const text = describeStatus(status, pools, unknown);
      return {text, data: {...status, pools, unknown}};
    }),
});

/** Sums the VMs' shares of each pool. */
function sumPools(
  pools: readonly PoolStatusResponse[],
): readonly PoolStatusResponse[] {
  const sums = new Map<string, PoolStatusResponse>();
  for (const pool of pools) {
    const key = `${pool.region} ${pool.service}`;
    const known = sums.get(key);
    if (!known) {
      sums.set(key, pool);
      continue;
    }
    const inFlightByWorkspace = {...known.inFlightByWorkspace};
    for (const [name, count] of Object.entries(pool.inFlightByWorkspace)) {
      const workspace = name as keyof typeof inFlightByWorkspace;
      inFlightByWorkspace[workspace] =
        (inFlightByWorkspace[workspace] ?? 0) + count;
    }
    sums.set(key, {
      ...known,
      usableSlots: known.usableSlots + pool.usableSlots,
      ownedSlots: known.ownedSlots + pool.ownedSlots,
      inFlight: known.inFlight + pool.inFlight,
      queued: known.queued + pool.queued,
      inFlightByWorkspace,
    });
  }
  return [...sums.keys()].sort().map(key => sums.get(key)!);
}

function describeStatus(
  status: StatusResponse,
  pools: readonly PoolStatusResponse[],
  unknown: readonly string[],
): string {
  const parts = [
    `VM ${status.vm} in ${status.region}/${status.zone}, incarnation ${status.incarnation}, at ${formatTimestamp(status.atMs)}`,
    describeConfiguration(status),
    `Store: ${describeStore(status)}`,
    `In flight at this VM: ${status.inFlight ?? 'not known'}${status.stopping ? ' (stopping)' : ''}`,
    '',
    formatTable(
      ['VM', 'REGION', 'ZONE', 'STATE', 'GENERATION', 'HEARD'],
      status.vms.map(vm => [
        vm.vm,
        vm.region,
        vm.zone,
        vm.state,
        vm.generation === undefined ? '' : String(vm.generation),
        vm.heardAgoMs === undefined
          ? ''
          : `${formatDuration(vm.heardAgoMs)} ago`,
      ]),
    ),
    '',
    formatTable(
      ['REGION', 'SERVICE', 'SLOTS', 'IN USE', 'QUEUED', 'HEADROOM'],
      pools.map(poolRow),
    ),
    '',
    ...describeTrafficChanges(status),
    'Not known:',
    ...(unknown.length > 0 ? unknown : ['nothing']).map(text => `  ${text}`),
  ];
  return parts.join('\n');
}

function poolRow(pool: PoolStatusResponse): string[] {
  const headroom =
    pool.usableSlots === 0
      ? 'none held'
      : formatPercent(1 - pool.inFlight / pool.usableSlots);
  return [
    pool.region,
    pool.service,
    String(pool.usableSlots),
    String(pool.inFlight),
    String(pool.queued),
    headroom,
  ];
}

function describeConfiguration({configuration}: StatusResponse): string {
  if (!configuration?.generation) {
    return 'Configuration: none yet';
  }
  const since = configuration.inForceSinceMs;
  const when = since === undefined ? '' : `, since ${formatTimestamp(since)}`;
  const fresh = configuration.fresh ? 'fresh' : `STALE (${configuration.why})`;
  return `Configuration: generation ${configuration.generation}${when}, ${fresh}`;
}

function describeStore({store}: StatusResponse): string {
  if (store.reachable === undefined) {
    return 'not tried yet';
  }
  const since =
    store.sinceMs === undefined
      ? ''
      : ` since ${formatTimestamp(store.sinceMs)}`;
  return `${store.reachable ? 'reachable' : 'NOT reachable'}${since}`;
}

function describeTrafficChanges(status: StatusResponse): readonly string[] {
  const lines: string[] = [];
  for (const {drain, state, fraction, timeLeftMs} of status.drains) {
    const left =
      timeLeftMs === undefined ? '' : `, ${formatDuration(timeLeftMs)} left`;
    lines.push(
      `Drain ${drain.id} of ${describeScope(drain.scope)}: ${state}, ${formatPercent(fraction)}${left}`,
    );
  }
  for (const shift of status.shifts) {
    lines.push(
      `Shift ${shift.id}: ${formatPercent(shift.fraction)} of ${shift.from} to ${shift.to}, from ${formatTimestamp(shift.startAtMs)}`,
    );
  }
  for (const failover of status.failovers) {
    lines.push(
      `Failover of ${failover.from} since ${formatTimestamp(failover.startedAtMs)}: ${formatPercent(failover.fraction)} may be served elsewhere`,
    );
  }
  for (const quarantine of status.quarantines) {
    lines.push(
      `Quarantine ${quarantine.fingerprint}: ${quarantine.targetsLost} targets lost, ${formatDuration(quarantine.timeLeftMs)} left`,
    );
  }
  if (status.leavingTargets.length > 0) {
    lines.push(`Targets leaving: ${status.leavingTargets.join(', ')}`);
  }
  if (status.ejectedTargets.length > 0) {
    lines.push(`Targets ejected: ${status.ejectedTargets.join(', ')}`);
  }
  return lines.length > 0
    ? [...lines, '']
    : ['No drains, shifts, failovers or quarantines.', ''];
}
