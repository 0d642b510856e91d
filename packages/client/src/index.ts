/** What a calling team links into its programs; see `docs/callers.md`. */
export * from './core/create_client.js';
export * from './core/types.js';
