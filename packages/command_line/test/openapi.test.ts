import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {after, before, test} from 'node:test';
import {buildOpenapi} from '@ibisbeam/library';
import {type VmHarness, sampleRecord, startVm} from './vm_harness.js';

const FILE = fileURLToPath(
  new URL('../../../../docs/openapi.json', import.meta.url),
);
const description = buildOpenapi();
const EXAMPLES: Readonly<Record<string, string>> = {
  '{requestId}': 'r-documented',
  '{fingerprint}': 'f00d',
};

let vm: VmHarness;
before(async () => {
  vm = await startVm();
  const record = sampleRecord('r-documented');
  vm.kernel.publish({kind: 'request-finished', record});
});
after(() => vm.close());

test('docs/openapi.json matches the schemas', () => {
  const written = JSON.parse(readFileSync(FILE, 'utf8')) as unknown;
  const current = JSON.parse(JSON.stringify(description)) as unknown;
  assert.deepEqual(written, current, 'run `npm run openapi`');
});

interface Operation {
  readonly tags: readonly string[];
  readonly responses: Readonly<Record<string, unknown>>;
}

for (const [path, operations] of Object.entries(description.paths)) {
  for (const [method, value] of Object.entries(operations)) {
    const operation = value as Operation;
    if (operation.tags[0] !== 'operator') {
      continue;
    }
    test(`${method} ${path} is served as described`, async () => {
      const concretePath = path.replace(/\{\w+\}/, found => EXAMPLES[found]!);
      const url = `http://${vm.address}${concretePath}`;
      const token = await vm.signer.sign(
        {kind: 'operator', name: 'janis'},
        'ibisbeam-operator',
        60_000,
      );
      const headers = {authorization: `Bearer ${token}`};
      const answer = await fetch(url, {method: method.toUpperCase(), headers});
      const documentedStatuses = Object.keys(operation.responses);
      assert.ok(
        documentedStatuses.includes(String(answer.status)),
        `${answer.status}`,
      );
      assert.notEqual(answer.status, 404, 'the route is missing');
      const unauthenticated = await fetch(url, {method: method.toUpperCase()});
      assert.equal(unauthenticated.status, 401);
      assert.ok(documentedStatuses.includes('401'));
    });
  }
}

test('every reference in the description resolves to a schema', () => {
  const text = JSON.stringify(description);
  const names = new Set(Object.keys(description.components.schemas));
  for (const [, name] of text.matchAll(/#\/components\/schemas\/(\w+)/g)) {
    assert.ok(names.has(name!), name);
  }
});
