import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type FailurePolicy,
  type JournalEntry,
  type Kernel,
  type KernelDependencies,
  type PlugIn,
  type Task,
  type TaskName,
  createKernel,
  createManualTimerService,
  createMemoryMetrics,
  createSilentLogger,
} from '../../../src/index.js';

function dependencies() {
  const timers = createManualTimerService();
  const metrics = createMemoryMetrics();
  const built = {
    timers,
    metrics,
    logger: createSilentLogger(),
    hooks: {vmStarted: [], requestFinished: [], configurationInForce: []},
  } as unknown as KernelDependencies;
  return {timers, metrics, built};
}

function plugIn<Name extends TaskName>(
  name: Name,
  task: Partial<Task<Name>>,
  options: {
    readonly dependsOn?: readonly TaskName[];
    readonly onFailure?: FailurePolicy;
  } = {},
): PlugIn {
  return {
    name,
    dependsOn: options.dependsOn ?? [],
    subscribesTo: ['store-reachability', 'freshness-changed'],
    onFailure: options.onFailure ?? 'restart',
    create: () => ({
      start: () => Promise.resolve(),
      stop: () => Promise.resolve(),
      ...task,
    }),
  } as unknown as PlugIn;
}

test('tasks start after what they depend on and stop in reverse', async () => {
  const order: string[] = [];
  const traced = (name: TaskName, dependsOn: readonly TaskName[]) =>
    plugIn(
      name,
      {
        start: async () => void order.push(`start ${name}`),
        stop: async () => void order.push(`stop ${name}`),
      },
      {dependsOn},
    );
  const kernel = createKernel(
    [
      traced('forwarding', ['configuration']),
      traced('configuration', ['peer_links']),
      traced('peer_links', []),
    ],
    dependencies().built,
  );
  await kernel.start();
  await kernel.stop();
  assert.deepEqual(order, [
    'start peer_links',
    'start configuration',
    'start forwarding',
    'stop forwarding',
    'stop configuration',
    'stop peer_links',
  ]);
});

test('plug-ins that depend on each other do not build a kernel', () => {
  const cycle = [
    plugIn('forwarding', {}, {dependsOn: ['lookup']}),
    plugIn('lookup', {}, {dependsOn: ['forwarding']}),
  ];
  assert.throws(
    () => createKernel(cycle, dependencies().built),
    /dependency cycle/,
  );
});

test('a task that throws is restarted after the backoff and counted', async () => {
  const {timers, metrics, built} = dependencies();
  let starts = 0;
  let observed = 0;
  const failing = plugIn('journal', {
    start: async () => void (starts += 1),
    observe: () => {
      observed += 1;
      if (observed === 1) {
        throw new Error('defect');
      }
    },
  });
  const kernel = createKernel([failing], built);
  await kernel.start();
  kernel.publish({kind: 'store-reachability', reachable: true});
  await timers.advance(99);
  assert.equal(starts, 1);
  await timers.advance(1);
  assert.equal(starts, 2);
  assert.equal(metrics.count('task.restarts'), 1);
  kernel.publish({kind: 'store-reachability', reachable: true});
  assert.equal(observed, 2);
});

test('a fatal task that throws ends the kernel in good order', async () => {
  const {timers, built} = dependencies();
  let stopped = false;
  const failing = plugIn(
    'forwarding',
    {
      observe: () => {
        throw new Error('defect');
      },
    },
    {onFailure: 'fatal'},
  );
  const other = plugIn('journal', {stop: async () => void (stopped = true)});
  const kernel = createKernel([other, failing], built);
  await kernel.start();
  kernel.publish({kind: 'store-reachability', reachable: true});
  await timers.advance(1);
  const end = await kernel.ended;
  assert.match(String(end.fatal), /defect/);
  assert.ok(stopped);
});

test('asking a task that does not answer gives nothing after the timeout', async () => {
  const {timers, built} = dependencies();
  const kernel = createKernel([plugIn('journal', {})], built);
  await kernel.start();
  const asked = kernel.ask<'journal', readonly JournalEntry[]>(
    'journal',
    reply => ({kind: 'query', limit: 1, reply}),
    1_000,
  );
  await timers.advance(1_000);
  assert.equal(await asked, undefined);
});

test('asking a task that has not started gives nothing at once', async () => {
  const {timers, built} = dependencies();
  let answer: unknown = 'none yet';
  const asking = plugIn('peer_links', {
    start: async () => {
      answer = await kernel.ask<'journal', readonly JournalEntry[]>(
        'journal',
        reply => ({kind: 'query', limit: 1, reply}),
      );
    },
  });
  const kernel: Kernel = createKernel(
    [asking, plugIn('journal', {}, {dependsOn: ['peer_links']})],
    built,
  );
  await kernel.start();
  assert.equal(answer, undefined);
  assert.equal(timers.nowMs(), 0);
});

test('messages keep their order while one is being handled', async () => {
  const {timers, built} = dependencies();
  const handled: boolean[] = [];
  const slow = plugIn('journal', {
    observe: async event => {
      await timers.sleep(10);
      handled.push(event.kind === 'store-reachability' && event.reachable);
    },
  });
  const kernel = createKernel([slow], built);
  await kernel.start();
  kernel.publish({kind: 'store-reachability', reachable: true});
  kernel.publish({kind: 'store-reachability', reachable: false});
  await timers.advance(20);
  assert.deepEqual(handled, [true, false]);
});

test('a task gets what was published before it had started', async () => {
  const heard: string[] = [];
  const {built} = dependencies();
  const early = plugIn('configuration', {
    start: async () =>
      kernel.publish({kind: 'store-reachability', reachable: true}),
  });
  const late = plugIn(
    'forwarding',
    {
      start: async () => void heard.push('start'),
      observe: event => void heard.push(event.kind),
    },
    {dependsOn: ['configuration']},
  );
  const kernel = createKernel([late, early], built);
  await kernel.start();
  assert.deepEqual(heard, ['start', 'store-reachability']);
});

test('a restarted task is told the latest state again', async () => {
  const {timers, built} = dependencies();
  const heard: string[] = [];
  let lives = 0;
  const failing = plugIn('lookup', {
    start: async () => void (lives += 1),
    observe: event => {
      heard.push(`${lives} ${event.kind}`);
      if (event.kind === 'store-reachability') {
        throw new Error('defect');
      }
    },
  });
  const kernel = createKernel([failing], built);
  await kernel.start();
  kernel.publish({kind: 'freshness-changed', fresh: true, why: 'test'});
  kernel.publish({kind: 'store-reachability', reachable: true});
  await timers.advance(100);
  assert.deepEqual(heard, [
    '1 freshness-changed',
    '1 store-reachability',
    '2 freshness-changed',
  ]);
});
