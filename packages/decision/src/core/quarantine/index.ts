export * from './crash_evidence.js';
export * from './crash_suspicions.js';
export * from './crash_verdict.js';
export * from './run_ledger.js';
export * from './survived_runs.js';
