export * from './jsonc.js';
export * from './load_settings.js';
export * from './schema.js';
