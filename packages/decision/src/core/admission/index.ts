export * from './request_queue.js';
