export * from './memory_platform.js';
export * from './types.js';
export * from './platform_server.js';
