/** Approvals of calling teams for services. */
export * from './approvals.js';
export * from './change_approvals.js';
