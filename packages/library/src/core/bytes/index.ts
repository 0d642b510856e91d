export * from './piece_buffer.js';
