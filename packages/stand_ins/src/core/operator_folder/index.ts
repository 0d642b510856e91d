export * from './operator_folder.js';
