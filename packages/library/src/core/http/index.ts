export * from './answer_head.js';
export * from './body.js';
export * from './caller_routes.js';
export * from './client_connections.js';
export * from './headers.js';
export * from './input_discard.js';
export * from './problem_details.js';
