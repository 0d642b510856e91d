/** Which calling teams may send to which service. */
export * from './approvals.js';
export * from './change_approvals.js';
