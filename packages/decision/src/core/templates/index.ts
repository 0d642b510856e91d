export * from './check_template.js';
export * from './compile.js';
export * from './instantiate_template.js';
export * from './impact.js';
export * from './policy_changes.js';
export * from './types.js';
