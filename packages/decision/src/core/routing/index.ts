export * from './choose_target.js';
export * from './target_record.js';
