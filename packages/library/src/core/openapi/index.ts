export * from './build_openapi.js';
