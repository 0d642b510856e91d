import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {test} from 'node:test';
import {
  checkTemplate,
  compileConfiguration,
  generation,
} from '@ibisbeam/decision';
import {Right} from 'purify-ts';
import {loadSections} from '../src/index.js';

const EXAMPLES = fileURLToPath(
  new URL('../../../../examples/', import.meta.url),
);

for (const name of ['daugava', 'ceoltoiri']) {
  test(`the example of ${name} is a valid configuration`, () => {
    const document = loadSections(`${EXAMPLES}${name}`, {
      listFiles: folder =>
        Right(readdirSync(folder).map(file => `${folder}/${file}`)),
      readText: file => Right(readFileSync(file, 'utf8')),
    }).unsafeCoerce();
    const template = document.get('template/standard-steering')!;
    assert.ok(template.kind === 'template');
    assert.deepEqual(checkTemplate(template.template), []);
    const compiled = compileConfiguration(document, generation(1));
    const configuration = compiled.unsafeCoerce();
    assert.equal(configuration.entryVms.size, 7);
    assert.equal(configuration.services.size, 3);
    assert.ok(configuration.approvals.length > 0);
  });
}
