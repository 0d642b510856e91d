/**
 * Tickets: idempotency keys minted by one incarnation of one VM. Only that
 * incarnation grants claims on them, from its memory, so no store call is
 * needed.
 */
import {
  type Incarnation,
  type VmId,
  incarnationSchema,
  vmIdSchema,
} from '../model/index.js';

const PREFIX = 'ibt1';
const SEPARATOR = '~';

/** Time after minting within which the operation may begin. */
export const TICKET_LIFETIME_MS = 600_000;
/** Largest clock difference between VMs that is tolerated. */
const CLOCK_TOLERANCE_MS = 2_000;

export interface Ticket {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly mintedAtWallMs: number;
  /** Number of the ticket among those of its incarnation. */
  readonly counter: number;
}

export function formatTicket(ticket: Ticket): string {
  return [
    PREFIX,
    ticket.vm,
    ticket.incarnation,
    ticket.mintedAtWallMs.toString(36),
    ticket.counter.toString(36),
  ].join(SEPARATOR);
}

/** Returns undefined if the key is no ticket, that is, chosen by the caller. */
export function parseTicket(key: string): Ticket | undefined {
  const parts = key.split(SEPARATOR);
  if (parts[0] !== PREFIX || parts.length < 5) {
    return undefined;
  }
  const vm = vmIdSchema.safeParse(parts[1]);
  const ticketIncarnation = incarnationSchema.safeParse(
    parts.slice(2, -2).join(SEPARATOR),
  );
  const mintedAtWallMs = parseInt(parts.at(-2)!, 36);
  const counter = parseInt(parts.at(-1)!, 36);
  if (
    !vm.success ||
    !ticketIncarnation.success ||
    Number.isNaN(mintedAtWallMs + counter)
  ) {
    return undefined;
  }
  return {
    vm: vm.data,
    incarnation: ticketIncarnation.data,
    mintedAtWallMs,
    counter,
  };
}

/** Whether an operation may still begin under the ticket. */
export function ticketMayBegin(ticket: Ticket, wallMs: number): boolean {
  const ageMs = wallMs - ticket.mintedAtWallMs;
  return ageMs >= -CLOCK_TOLERANCE_MS && ageMs <= TICKET_LIFETIME_MS;
}
