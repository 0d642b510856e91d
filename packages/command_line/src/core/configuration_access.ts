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
  type ConfigurationStoreError,
  type SectionChanges,
  type StoredConfiguration,
  createOperatorError,
  publishChange,
  readConfiguration,
  findGenerationOfWrite,
} from '@ibisbeam/library';
import {EitherAsync, Left, Right, type Either} from 'purify-ts';
import type {Errors} from './dependencies.js';
import {toOperatorErrors} from './publish_errors.js';
import type {Session} from './session.js';

const RESOLVE_ATTEMPTS = 8;
const RESOLVE_INTERVAL_MS = 500;

/** The accepted configuration, compiled, and the document it comes from. */
export interface AcceptedConfiguration {
  readonly stored: StoredConfiguration;
  readonly configuration: Configuration;
}

export function readStored(
  session: Session,
): EitherAsync<Errors, StoredConfiguration> {
  return EitherAsync.liftEither(session.store()).chain(store =>
    readConfiguration(store).mapLeft(toOperatorErrors),
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
  generationNumber: number,
): Either<Errors, Configuration> {
  return compileConfiguration(document, generation(generationNumber)).mapLeft(
    problems =>
      problems.map(problem =>
        createOperatorError('ConfigurationInvalid', {...problem}),
      ),
  );
}

export interface ProposedChange {
  readonly base: StoredConfiguration;
  readonly sections: SectionChanges;
  readonly author: string;
  readonly summary: string;
  /** Slots in use for each service and region, as far as known. */
  readonly load: readonly ServiceLoad[];
}

export interface ChangeOutcome {
  /** Absent with --dry-run. */
  readonly accepted?: AcceptedChange;
  readonly impact: ConfigurationImpact;
  readonly sections: readonly SectionName[];
}

/**
 * Computes the impact of a change and publishes it, unless headroom is missing
 * or `--dry-run` is given.
 */
export function applyChange(
  session: Session,
  change: ProposedChange,
): EitherAsync<Errors, ChangeOutcome> {
  return EitherAsync(async ({liftEither, fromPromise}) => {
    const impact = await liftEither(computeImpact(change));
    await liftEither(checkHeadroom(impact));
    const sections = [...change.sections.keys()];
    if (session.dryRun) {
      return {impact, sections};
    }
    const accepted = await fromPromise(publish(session, change).run());
    return {accepted, impact, sections};
  });
}

export function computeImpact(
  change: ProposedChange,
): Either<Errors, ConfigurationImpact> {
  const current = change.base.head?.generation ?? 0;
  const document = withChanges(change.base.document, change.sections);
  return compile(document, current + 1).chain(after => {
    const before =
      change.base.document.size === 0
        ? Right<Configuration | undefined, Errors>(undefined)
        : compile(change.base.document, current);
    return before.map(compiled => analyzeImpact(compiled, after, change.load));
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

function checkHeadroom(impact: ConfigurationImpact): Either<Errors, void> {
  const errors: Errors = impact.findings
    .filter(finding => finding.severity === 'refused')
    .map(({limit, workspace, service, region, message}) =>
      createOperatorError('HeadroomMissing', {
        where: [workspace, service, region].filter(Boolean).join('/'),
        figures: `${limit}: ${message}`,
        limit,
      }),
    );
  return errors.length > 0 ? Left(errors) : Right(undefined);
}

function publish(
  session: Session,
  change: ProposedChange,
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
      return liftEither(published.mapLeft(toOperatorErrors));
    }
    return liftEither(await resolveOutcome(session, change, writeId, failure));
  });
}

/** Polls the store to find out whether a write of unknown outcome succeeded. */
async function resolveOutcome(
  session: Session,
  change: ProposedChange,
  writeId: string,
  failure: ConfigurationStoreError,
): Promise<Either<Errors, AcceptedChange>> {
  const {timers} = session.dependencies;
  for (let count = 0; count < RESOLVE_ATTEMPTS; count += 1) {
    await timers.sleep(RESOLVE_INTERVAL_MS);
    const platform = session.store().unsafeCoerce();
    const resolved = await findGenerationOfWrite(platform, writeId).run();
    const resolvedGeneration = resolved.toMaybe().extractNullable();
    if (resolvedGeneration !== null && resolvedGeneration !== undefined) {
      const rebased =
        resolvedGeneration !== (change.base.head?.generation ?? 0) + 1;
      return Right({
        generation: resolvedGeneration,
        writeId,
        rebased,
        readBack: true,
      });
    }
  }
  return Left(toOperatorErrors(failure));
}
