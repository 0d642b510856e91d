export * from './entry_vm.js';
