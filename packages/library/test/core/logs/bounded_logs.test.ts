import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  type LogEvent,
  type LogFields,
  createBoundedWriter,
  createKeyValueLogger,
  createLineLogger,
  createManualTimerService,
  createRateLimitedLogger,
} from '../../../src/index.js';

describe('bounded log writer', () => {
  it('drops and counts lines while the reader stalls, and then resumes', async () => {
    const timers = createManualTimerService();
    const written: string[] = [];
    let finish: (() => void) | undefined;
    const writer = createBoundedWriter({
      timers,
      output: (text, done) => {
        written.push(text);
        finish = () => done();
      },
      maximumBufferedCharacters: 100,
    });
    const line = `${'x'.repeat(39)}\n`;
    assert.equal(writer.write(line), true);
    await timers.advance(60);
    assert.equal(writer.write(line), true);
    assert.equal(writer.write(line), false);
    assert.equal(writer.takeDropped(), 1);
    finish?.();
    await timers.advance(60);
    assert.deepEqual(written, [line, line]);
    finish?.();
    assert.equal(writer.write(line), true);
  });

  it('batches lines of a short interval into one write', async () => {
    const timers = createManualTimerService();
    const written: string[] = [];
    const writer = createBoundedWriter({
      timers,
      output: (text, done) => {
        written.push(text);
        done();
      },
    });
    writer.write('a\n');
    writer.write('b\n');
    await timers.advance(60);
    assert.deepEqual(written, ['a\nb\n']);
  });
});

describe('rate-limited logger', () => {
  it('limits each event separately and reports the dropped lines', async () => {
    const timers = createManualTimerService();
    const lines: {event: LogEvent; fields?: LogFields}[] = [];
    const logger = createRateLimitedLogger({
      logger: {log: (_level, event, fields) => lines.push({event, fields})},
      timers,
      linesPerSecond: 10,
    });
    for (let index = 0; index < 50; index += 1) {
      logger.log('info', 'request-finished');
    }
    logger.log('warn', 'attempt-failed');
    assert.equal(lines.length, 11);
    logger.reportDropped();
    assert.deepEqual(lines.at(-1), {
      event: 'lines-dropped',
      fields: {of: 'request-finished', atLevel: 'info', count: 40},
    });
    await timers.advance(500);
    for (let index = 0; index < 50; index += 1) {
      logger.log('info', 'request-finished');
    }
    assert.equal(lines.length, 12 + 5);
  });
});

describe('line logger', () => {
  it('writes the same lines as the key-value logger', () => {
    const fields = {
      vm: 'edge 1',
      status: 503,
      detail: 'no slot in time',
      list: [1, 2],
      absent: undefined,
    };
    const lines: string[] = [];
    const write = (line: string): void => {
      lines.push(line.replace(/^time=\S+ /, ''));
    };
    const timers = createManualTimerService(1_700_000_000_000);
    const options = {level: 'info', fields: {vm: 'edge 1'}, write} as const;
    createKeyValueLogger(options).log('warn', 'request-finished', fields);
    createLineLogger({...options, timers}).log(
      'warn',
      'request-finished',
      fields,
    );
    createLineLogger({...options, timers}).log('debug', 'request-finished');
    assert.equal(lines.length, 2);
    assert.equal(lines[0], lines[1]);
  });
});
