export * from './call_counter.js';
export * from './circuit_breaker.js';
export * from './http_platform_store.js';
export * from './types.js';
export * from './wire.js';
