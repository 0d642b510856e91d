/** Parses the scope of a drain from command-line options. */
import {
  type DrainScope,
  regionNameSchema,
  serviceNameSchema,
  targetIdSchema,
  vmIdSchema,
  zoneNameSchema,
} from '@ibisbeam/decision';
import {type Either, Left, Right} from 'purify-ts';
import type {Errors} from '../../core/dependencies.js';
import {invalidInput, parseName} from '../../core/parse_inputs.js';

export interface ScopeOptions {
  readonly target: string | undefined;
  readonly service: string | undefined;
  readonly zone: string | undefined;
  readonly region: string | undefined;
  readonly entryVm: string | undefined;
}

const EXPECTED_SCOPE =
  'one of --target, --zone REGION/ZONE (with --service or alone), --region or --entry-vm';

/** Rejects options that contradict each other; none takes precedence. */
export function readScope(options: ScopeOptions): Either<Errors, DrainScope> {
  const {target, service, zone, region, entryVm} = options;
  const scopes = [target, zone, region, entryVm];
  const given = scopes.filter(value => value !== undefined);
  if (given.length !== 1 || (service !== undefined && zone === undefined)) {
    const givenNames = Object.entries({target, service, zone, region, entryVm})
      .filter(([, value]) => value !== undefined)
      .map(([name]) => name);
    return Left(invalidInput('scope', EXPECTED_SCOPE, givenNames));
  }
  if (target !== undefined) {
    return parseName('--target', targetIdSchema, target).map(parsed => ({
      kind: 'target',
      target: parsed,
    }));
  }
  if (region !== undefined) {
    return parseName('--region', regionNameSchema, region).map(parsed => ({
      kind: 'region',
      region: parsed,
    }));
  }
  if (entryVm !== undefined) {
    return parseName('--entry-vm', vmIdSchema, entryVm).map(parsed => ({
      kind: 'entry-vm',
      vm: parsed,
    }));
  }
  return readZoneScope(zone!, service);
}

function readZoneScope(
  text: string,
  service: string | undefined,
): Either<Errors, DrainScope> {
  const parts = text.split('/');
  if (parts.length !== 2) {
    return Left(invalidInput('--zone', 'REGION/ZONE such as riga/a', text));
  }
  return parseName('--zone', regionNameSchema, parts[0]).chain(region =>
    parseName('--zone', zoneNameSchema, parts[1]).chain<Errors, DrainScope>(
      zone => {
        if (service === undefined) {
          return Right({kind: 'zone', region, zone});
        }
        return parseName('--service', serviceNameSchema, service).map(
          parsed => ({kind: 'service-zone', service: parsed, region, zone}),
        );
      },
    ),
  );
}
