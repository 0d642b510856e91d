export * from './target_registry.js';
