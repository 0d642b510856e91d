import assert from 'node:assert/strict';
import {test} from 'node:test';
import {compileConfiguration, generation} from '@ibisbeam/decision';
import {buildDeployment} from '../src/index.js';

for (const name of ['daugava', 'ceoltoiri'] as const) {
  test(`the deployment of ${name} compiles to a configuration`, () => {
    const document = buildDeployment({
      name,
      entryVmCount: 7,
      workerDivisor: 1,
      clientBlockCount: 900,
    });
    const compiled = compileConfiguration(document, generation(1));
    const configuration = compiled.caseOf({
      Left: problems => assert.fail(JSON.stringify(problems)),
      Right: value => value,
    });
    assert.equal(configuration.entryVms.size, 7);
    assert.equal(configuration.services.size, 3);
    assert.equal(configuration.workspaces.size, 1);
  });
}
