/** Reads the configuration, checks a change's impact and publishes it. */
import {
  type Configuration,
  type ConfigurationDocument,
  type ConfigurationImpact,
  type Section,
  type SectionName,
  type ServiceLoad,
  analyzeImpact,
  compileConfiguration,
  generation,
} from '@ibisbeam/decision';
import {
  type AcceptedChange,
  type PublishError,
  type SectionChanges,
  type StoredConfiguration,
  operatorError,
  publishChange,
  readDocument,
  resolveWrite,
} from '@ibisbeam/library';
import {EitherAsync, Left, Right, type Either} from 'purify-ts';
import type {Errors} from './dependencies.js';
import {publishErrors} from './publish_errors.js';
import type {Session} from './session.js';

const RESOLVE_ATTEMPTS = 8;
const RESOLVE_WAIT_MS = 500;

/** The accepted configuration, compiled, with what it was read from. */
export interface AcceptedConfiguration {
  readonly stored: StoredConfiguration;
  readonly configuration: Configuration;
}

export function readStored(
  session: Session,
): EitherAsync<Errors, StoredConfiguration> {
  return EitherAsync.liftEither(session.store()).chain(store =>
    readDocument(store).mapLeft(publishErrors),
  );
}

export function readAccepted(
  session: Session,
): EitherAsync<Errors, AcceptedConfiguration> {
  return readStored(session).chain(stored =>
    EitherAsync.liftEither(
      compile(stored.document, stored.head?.generation ?? 0).map(
        configuration => ({stored, configuration}),
      ),
    ),
  );
}

export function compile(
  document: ConfigurationDocument,
  number: number,
): Either<Errors, Configuration> {
  return compileConfiguration(document, generation(number)).mapLeft(problems =>
    problems.map(problem =>
      operatorError('ConfigurationInvalid', {...problem}),
    ),
  );
}

export interface WantedChange {
  readonly base: StoredConfiguration;
  readonly sections: SectionChanges;
  readonly author: string;
  readonly summary: string;
  /** Present use of the regions, as far as it is known. */
  readonly load: readonly ServiceLoad[];
}

export interface ChangeOutcome {
  /** Absent with --dry-run. */
  readonly accepted?: AcceptedChange;
  readonly impact: ConfigurationImpact;
  readonly sections: readonly SectionName[];
}

/** Shows what a change alters; refuses it, or publishes it, or does neither. */
export function applyChange(
  session: Session,
  change: WantedChange,
): EitherAsync<Errors, ChangeOutcome> {
  return EitherAsync(async ({liftEither, fromPromise}) => {
    const impact = await liftEither(impactOf(change));
    await liftEither(refusals(impact));
    const sections = [...change.sections.keys()];
    if (session.dryRun) {
      return {impact, sections};
    }
    const accepted = await fromPromise(publish(session, change).run());
    return {accepted, impact, sections};
  });
}

export function impactOf(
  change: WantedChange,
): Either<Errors, ConfigurationImpact> {
  const current = change.base.head?.generation ?? 0;
  const document = withChanges(change.base.document, change.sections);
  return compile(document, current + 1).chain(after => {
    const before =
      change.base.document.size === 0
        ? Right<Configuration | undefined, Errors>(undefined)
        : compile(change.base.document, current);
    return before.map(known => analyzeImpact(known, after, change.load));
  });
}

export function withChanges(
  document: ConfigurationDocument,
  changes: SectionChanges,
): ConfigurationDocument {
  const changed = new Map<SectionName, Section>(document);
  for (const [name, section] of changes) {
    if (section) {
      changed.set(name, section);
    } else {
      changed.delete(name);
    }
  }
  return changed;
}

function refusals(impact: ConfigurationImpact): Either<Errors, void> {
  const errors: Errors = impact.findings
    .filter(finding => finding.severity === 'refused')
    .map(({limit, workspace, service, region, message}) =>
      operatorError('HeadroomMissing', {
        where: [workspace, service, region].filter(Boolean).join('/'),
        figures: `${limit}: ${message}`,
        limit,
      }),
    );
  return errors.length > 0 ? Left(errors) : Right(undefined);
}

function publish(
  session: Session,
  change: WantedChange,
): EitherAsync<Errors, AcceptedChange> {
  const {timers, uniqueId} = session.dependencies;
  return EitherAsync(async ({liftEither}) => {
    const platform = await liftEither(session.store());
    const writeId = uniqueId();
    const published = await publishChange({
      platform,
      base: change.base,
      sections: change.sections,
      author: change.author,
      summary: change.summary,
      writeId,
      wallMs: timers.wallMs(),
    }).run();
    const failure = published.swap().toMaybe().extract();
    if (failure?.kind !== 'outcome-unknown') {
      return liftEither(published.mapLeft(publishErrors));
    }
    return liftEither(await resolve(session, change, writeId, failure));
  });
}

/** Asks the store again for a while whether the change took effect. */
async function resolve(
  session: Session,
  change: WantedChange,
  writeId: string,
  failure: PublishError,
): Promise<Either<Errors, AcceptedChange>> {
  const {timers} = session.dependencies;
  for (let count = 0; count < RESOLVE_ATTEMPTS; count += 1) {
    await timers.sleep(RESOLVE_WAIT_MS);
    const platform = session.store().unsafeCoerce();
    const resolved = await resolveWrite(platform, writeId).run();
    const made = resolved.toMaybe().extractNullable();
    if (made !== null && made !== undefined) {
      const rebased = made !== (change.base.head?.generation ?? 0) + 1;
      return Right({generation: made, writeId, rebased, readBack: true});
    }
  }
  return Left(publishErrors(failure));
}
