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
  const kernelDependencies = {
    timers,
    metrics,
    logger: createSilentLogger(),
    hooks: {vmStarted: [], requestFinished: [], configurationInForce: []},
  } as unknown as KernelDependencies;
  return {timers, metrics, kernelDependencies};
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

test('tasks start after their dependencies and stop in reverse order', async () => {
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
    dependencies().kernelDependencies,
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

test('a kernel is not created from plug-ins with a dependency cycle', () => {
  const cycle = [
    plugIn('forwarding', {}, {dependsOn: ['lookup']}),
    plugIn('lookup', {}, {dependsOn: ['forwarding']}),
  ];
  assert.throws(
    () => createKernel(cycle, dependencies().kernelDependencies),
    /dependency cycle/,
  );
});

test('a task that throws is restarted after the backoff and counted', async () => {
  const {timers, metrics, kernelDependencies} = dependencies();
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
  const kernel = createKernel([failing], kernelDependencies);
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

test('a fatal task that throws shuts the kernel down gracefully', async () => {
  const {timers, kernelDependencies} = dependencies();
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
  const kernel = createKernel([other, failing], kernelDependencies);
  await kernel.start();
  kernel.publish({kind: 'store-reachability', reachable: true});
  await timers.advance(1);
  const end = await kernel.ended;
  assert.match(String(end.fatal), /defect/);
  assert.ok(stopped);
});

test('ask resolves to undefined after the timeout if the task does not answer', async () => {
  const {timers, kernelDependencies} = dependencies();
  const kernel = createKernel([plugIn('journal', {})], kernelDependencies);
  await kernel.start();
  const asked = kernel.ask<'journal', readonly JournalEntry[]>(
    'journal',
    reply => ({kind: 'query', limit: 1, reply}),
    1_000,
  );
  await timers.advance(1_000);
  assert.equal(await asked, undefined);
});

test('ask resolves to undefined at once if the task has not started', async () => {
  const {timers, kernelDependencies} = dependencies();
  let answer: unknown = 'not asked';
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
    kernelDependencies,
  );
  await kernel.start();
  assert.equal(answer, undefined);
  assert.equal(timers.nowMs(), 0);
});

test('messages keep their order while one is being handled', async () => {
  const {timers, kernelDependencies} = dependencies();
  const handled: boolean[] = [];
  const slow = plugIn('journal', {
    observe: async event => {
      await timers.sleep(10);
      handled.push(event.kind === 'store-reachability' && event.reachable);
    },
  });
  const kernel = createKernel([slow], kernelDependencies);
  await kernel.start();
  kernel.publish({kind: 'store-reachability', reachable: true});
  kernel.publish({kind: 'store-reachability', reachable: false});
  await timers.advance(20);
  assert.deepEqual(handled, [true, false]);
});

test('a task receives events that were published before it had started', async () => {
  const received: string[] = [];
  const {kernelDependencies} = dependencies();
  const publisher = plugIn('configuration', {
    start: async () =>
      kernel.publish({kind: 'store-reachability', reachable: true}),
  });
  const subscriber = plugIn(
    'forwarding',
    {
      start: async () => void received.push('start'),
      observe: event => void received.push(event.kind),
    },
    {dependsOn: ['configuration']},
  );
  const kernel = createKernel([subscriber, publisher], kernelDependencies);
  await kernel.start();
  assert.deepEqual(received, ['start', 'store-reachability']);
});

test('a restarted task receives the latest state events again', async () => {
  const {timers, kernelDependencies} = dependencies();
  const received: string[] = [];
  let starts = 0;
  const failing = plugIn('lookup', {
    start: async () => void (starts += 1),
    observe: event => {
      received.push(`${starts} ${event.kind}`);
      if (event.kind === 'store-reachability') {
        throw new Error('defect');
      }
    },
  });
  const kernel = createKernel([failing], kernelDependencies);
  await kernel.start();
  kernel.publish({kind: 'freshness-changed', fresh: true, why: 'test'});
  kernel.publish({kind: 'store-reachability', reachable: true});
  await timers.advance(100);
  assert.deepEqual(received, [
    '1 freshness-changed',
    '1 store-reachability',
    '2 freshness-changed',
  ]);
});

// Guards against servers that stay open when a VM is stopped during its start.
test('a task whose start ends after the stop is stopped as well', async () => {
  const order: string[] = [];
  let endStart = () => {};
  const kernel = createKernel(
    [
      plugIn('peer_links', {
        start: () =>
          new Promise(resolve => {
            endStart = resolve;
          }),
        stop: async () => void order.push('stop peer_links'),
      }),
      plugIn(
        'forwarding',
        {start: async () => void order.push('start forwarding')},
        {dependsOn: ['peer_links']},
      ),
    ],
    dependencies().kernelDependencies,
  );
  const started = kernel.start();
  await kernel.stop();
  endStart();
  await started;
  assert.deepEqual(order, ['stop peer_links']);
});
