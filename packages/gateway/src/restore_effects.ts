/**
 * Counts what a restore of the store from an older copy does to targets, and
 * logs it at the end of the restore.
 */
import type {Logger} from '@ibisbeam/library';

export interface RestoreEffects {
  /** Goes on with the counts of a restore that has not ended yet. */
  begin(): void;
  /** The copy lacks a target that is in use, which is kept for now. */
  onMissing(id: string): void;
  onListed(id: string): void;
  /** An entry is not used because it is older than what is known. */
  onWithheld(id: string): void;
  onRemoved(id: string): void;
  isActive(): boolean;
  /** @param revived Withheld entries that are still listed, and used now. */
  end(revived: number): void;
}

export function createRestoreEffects(log: Logger): RestoreEffects {
  let active = false;
  const missing = new Set<string>();
  const rewritten = new Set<string>();
  const dropped = new Set<string>();
  const withheld = new Set<string>();

  function addIfMissing(ids: Set<string>, id: string): void {
    if (active && missing.has(id)) {
      ids.add(id);
    }
  }

  function addIfActive(ids: Set<string>, id: string): void {
    if (active) {
      ids.add(id);
    }
  }

  return {
    begin: () => {
      active = true;
    },
    onMissing: id => addIfActive(missing, id),
    onListed: id => addIfMissing(rewritten, id),
    onWithheld: id => addIfActive(withheld, id),
    onRemoved: id => addIfMissing(dropped, id),
    isActive: () => active,
    end: revived => {
      active = false;
      log.log('info', 'restore-ended', {
        kept: missing.size,
        rewritten: rewritten.size,
        dropped: dropped.size,
        withheld: withheld.size,
        revived,
      });
      for (const ids of [missing, rewritten, dropped, withheld]) {
        ids.clear();
      }
    },
  };
}
