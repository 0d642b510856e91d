/** Calls the operator ports of VMs and validates their answers. */
import {
  type Configuration,
  type ServiceLoad,
  type VmId,
} from '@ibisbeam/decision';
import {
  type StatusResponse,
  createOperatorError,
  operatorProblemSchema,
  statusResponseSchema,
} from '@ibisbeam/library';
import {EitherAsync, Left, Right, type Either} from 'purify-ts';
import type {z} from 'zod';
import type {Errors, OperatorReply} from './dependencies.js';
import {mapLimited} from './map_limited.js';
import type {Session} from './session.js';

const MAX_PARALLEL_CALLS = 32;

export interface PortRequest<Schema extends z.ZodType> {
  readonly address: string;
  readonly method?: 'GET' | 'DELETE';
  readonly path: string;
  readonly schema: Schema;
  /** What the path names; without it a 404 is reported as `VmUnreachable`. */
  readonly resource?: string;
}

export function callPort<Schema extends z.ZodType>(
  session: Session,
  request: PortRequest<Schema>,
): EitherAsync<Errors, z.output<Schema>> {
  return EitherAsync.liftEither(session.token()).chain(token =>
    session.dependencies
      .callOperatorPort({
        address: request.address,
        method: request.method ?? 'GET',
        path: request.path,
        token,
        timeoutMs: session.timeoutMs,
      })
      .chain(reply => EitherAsync.liftEither(readReply(request, reply))),
  );
}

function readReply<Schema extends z.ZodType>(
  request: PortRequest<Schema>,
  reply: OperatorReply,
): Either<Errors, z.output<Schema>> {
  const {address} = request;
  if (reply.status === 200) {
    const parsed = request.schema.safeParse(reply.body);
    if (parsed.success) {
      return Right(parsed.data);
    }
    const cause = `its answer does not match the schema at: ${parsed.error.issues[0]?.path.join('.')}`;
    return Left([createOperatorError('VmUnreachable', {address, cause})]);
  }
  if (reply.status === 401 || reply.status === 403) {
    return Left([createOperatorError('TokenRefused', {where: address})]);
  }
  if (reply.status === 404 && request.resource) {
    const {resource} = request;
    return Left([
      createOperatorError('NotFound', {what: resource, where: `VM ${address}`}),
    ]);
  }
  const title = operatorProblemSchema.safeParse(reply.body).data?.title ?? '';
  const cause = `status ${reply.status} ${title}`.trim();
  return Left([createOperatorError('VmUnreachable', {address, cause})]);
}

/** Returns the ports of the flags or the profile; an error if there are none. */
export function configuredPorts(
  session: Session,
): Either<Errors, readonly string[]> {
  return session.profile().chain(({operatorPorts}) => {
    if (operatorPorts.length > 0) {
      return Right<readonly string[], Errors>(operatorPorts);
    }
    return Left([
      createOperatorError('UsageInvalid', {
        where: '--vm',
        expected: 'the operator port of any VM, by flag or in the profile',
        found: 'nothing',
      }),
    ]);
  });
}

/** Calls the configured ports in turn until one answers. */
export function callAnyPort<Schema extends z.ZodType>(
  session: Session,
  request: Omit<PortRequest<Schema>, 'address'>,
): EitherAsync<Errors, z.output<Schema>> {
  return EitherAsync(async ({liftEither}) => {
    const ports = await liftEither(configuredPorts(session));
    let failures: Errors = [];
    for (const address of ports) {
      const result = await callPort(session, {...request, address}).run();
      const errors = result.swap().toMaybe().extract();
      if (!errors || errors[0]?.name !== 'VmUnreachable') {
        return liftEither(result);
      }
      failures = [...failures, ...errors];
    }
    return liftEither(Left(failures));
  });
}

export interface PortAddress {
  readonly address: string;
  readonly vm?: VmId;
}

/** The answer of one VM, or the errors of the call. */
export interface PortAnswer<Answer> extends PortAddress {
  readonly result: Either<Errors, Answer>;
}

export function callPorts<Schema extends z.ZodType>(
  session: Session,
  ports: readonly PortAddress[],
  request: Omit<PortRequest<Schema>, 'address'>,
): Promise<readonly PortAnswer<z.output<Schema>>[]> {
  return mapLimited(ports, MAX_PARALLEL_CALLS, async port => ({
    ...port,
    result: await callPort(session, {...request, address: port.address}).run(),
  }));
}

export function operatorPortsOf(
  configuration: Configuration,
): readonly PortAddress[] {
  const ports: PortAddress[] = [];
  for (const vm of configuration.entryVms.values()) {
    ports.push({address: vm.operatorAddress, vm: vm.id});
  }
  return ports;
}

export interface FleetLoad {
  readonly load: readonly ServiceLoad[];
  readonly statuses: readonly StatusResponse[];
  /** VMs whose share of the load is unknown, with the cause. */
  readonly unknown: readonly {
    readonly vm: VmId | undefined;
    readonly cause: string;
  }[];
}

/** Queries every VM of the configuration for its slots in use. */
export async function gatherLoad(
  session: Session,
  configuration: Configuration,
): Promise<FleetLoad> {
  const answers = await callPorts(session, operatorPortsOf(configuration), {
    path: '/v1/status',
    schema: statusResponseSchema,
  });
  const load: ServiceLoad[] = [];
  const statuses: StatusResponse[] = [];
  const unknown: {vm: VmId | undefined; cause: string}[] = [];
  for (const {vm, result} of answers) {
    result.caseOf({
      Left: errors => {
        unknown.push({vm, cause: errors[0]?.message ?? 'no answer'});
      },
      Right: status => {
        statuses.push(status);
        load.push(...serviceLoadsOf(status));
        if (status.inFlight === undefined) {
          unknown.push({vm, cause: 'its forwarding task did not answer'});
        }
      },
    });
  }
  return {load, statuses, unknown};
}

function serviceLoadsOf(status: StatusResponse): readonly ServiceLoad[] {
  return status.pools.map(({service, region, inFlight, queued}) => ({
    service,
    region,
    inUse: inFlight + queued,
  }));
}
