/** Checks the invariants of the system against the trace of a run. */
export * from './check_trace.js';
export * from './checks/index.js';
export * from './trace.js';
