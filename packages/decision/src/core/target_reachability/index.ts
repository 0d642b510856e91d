export * from './probe_choice.js';
export * from './target_reachability.js';
export * from './types.js';
