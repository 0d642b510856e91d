/** Public API of the client library; see `docs/callers.md`. */
export * from './core/create_client.js';
export * from './core/types.js';
