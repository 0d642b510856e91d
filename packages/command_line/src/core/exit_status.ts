/** Exit statuses, documented in `docs/operators/exit-statuses.md`. */
import type {ErrorName, OperatorError} from '@ibisbeam/library';

export const EXIT_STATUS = {
  done: 0,
  defect: 1,
  usage: 2,
  invalidInput: 3,
  conflict: 4,
  headroom: 5,
  notAllowed: 6,
  storeUnavailable: 7,
  outcomeUnknown: 8,
  vmUnreachable: 9,
  notFound: 10,
  alreadySo: 11,
} as const;
export type ExitStatus = (typeof EXIT_STATUS)[keyof typeof EXIT_STATUS];

const STATUS_BY_ERROR: Readonly<Record<ErrorName, ExitStatus>> = {
  UsageInvalid: EXIT_STATUS.usage,
  SettingsUnreadable: EXIT_STATUS.invalidInput,
  SettingsInvalid: EXIT_STATUS.invalidInput,
  SecretMissing: EXIT_STATUS.invalidInput,
  FileUnreadable: EXIT_STATUS.invalidInput,
  FileInvalid: EXIT_STATUS.invalidInput,
  InputInvalid: EXIT_STATUS.invalidInput,
  ConfigurationInvalid: EXIT_STATUS.invalidInput,
  SectionTooLarge: EXIT_STATUS.invalidInput,
  ConfigurationConflict: EXIT_STATUS.conflict,
  ConfigurationContention: EXIT_STATUS.conflict,
  HeadroomMissing: EXIT_STATUS.headroom,
  LoadUnknown: EXIT_STATUS.headroom,
  NotAllowed: EXIT_STATUS.notAllowed,
  TokenRefused: EXIT_STATUS.notAllowed,
  PlatformUnavailable: EXIT_STATUS.storeUnavailable,
  StoreCorrupt: EXIT_STATUS.storeUnavailable,
  OutcomeUnknown: EXIT_STATUS.outcomeUnknown,
  VmUnreachable: EXIT_STATUS.vmUnreachable,
  NotFound: EXIT_STATUS.notFound,
  AlreadySo: EXIT_STATUS.alreadySo,
};

/** Returns the status of the first error, which stopped the command. */
export function exitStatusOf(errors: readonly OperatorError[]): ExitStatus {
  const name = errors[0]?.name as ErrorName | undefined;
  if (name === undefined) {
    return EXIT_STATUS.defect;
  }
  return STATUS_BY_ERROR[name];
}
