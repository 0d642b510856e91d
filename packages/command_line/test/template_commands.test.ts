import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readConfiguration} from '@ibisbeam/library';
import {EXIT_STATUS} from '../src/index.js';
import {OWNER, type Harness, createHarness} from './command_harness.js';

interface EditableTemplate {
  version: number;
  readonly parameters: Record<string, object>;
}

/** Applies a change to the accepted template and writes it to `template`. */
async function editTemplate(
  harness: Harness,
  change: (template: EditableTemplate) => void,
): Promise<void> {
  const stored = await readConfiguration(harness.platform.store);
  const section = stored
    .unsafeCoerce()
    .document.get('template/standard-steering');
  const copy = structuredClone(section) as never as {
    template: EditableTemplate;
  };
  change(copy.template);
  harness.files.set('template', JSON.stringify(copy));
}

test('publishing a new version moves its workspaces to it', async () => {
  const harness = await createHarness();
  await editTemplate(harness, template => {
    template.version = 2;
    Object.assign(template.parameters['shiftCap']!, {default: 0.05});
  });
  const diff = await harness.run('template', 'diff', 'template');
  assert.match(diff.output, /shift\.capFraction: 0\.1 -> 0\.05/);
  assert.equal(await harness.generation(), 1);
  const run = await harness.run('template', 'publish', 'template');
  assert.equal(run.status, EXIT_STATUS.done, run.errors);
  const shown = await harness.run(
    'workspace',
    'show',
    'daugava-scholars-lodging',
  );
  assert.match(shown.output, /version 2/);
  assert.match(shown.output, /shiftCap\s+0\.05\s+default/);
});

type Edit = Parameters<typeof editTemplate>[1];
const INVALID_TEMPLATES: readonly (readonly [string, Edit, number, RegExp])[] =
  [
    [
      'a version that does not follow',
      template => Object.assign(template, {version: 5}),
      EXIT_STATUS.invalidInput,
      /version: expected 2, found 5/,
    ],
    ['the same content again', () => {}, EXIT_STATUS.alreadySo, /in force/],
    [
      'a default out of its bounds',
      template => Object.assign(template.parameters['shiftCap']!, {default: 9}),
      EXIT_STATUS.invalidInput,
      /default: expected 0\.01 to 0\.25/,
    ],
    [
      'a minimum over the maximum',
      template => Object.assign(template.parameters['shiftCap']!, {minimum: 9}),
      EXIT_STATUS.invalidInput,
      /minimum 9 is over the maximum/,
    ],
    [
      'bounds that allow a policy that is not valid',
      template => Object.assign(template.parameters['shiftCap']!, {maximum: 3}),
      EXIT_STATUS.invalidInput,
      /allows 3, with which policies/,
    ],
    [
      'a parameter that nothing uses',
      template =>
        Object.assign(template.parameters, {
          idle: {type: 'switch', description: 'x', default: true},
        }),
      EXIT_STATUS.invalidInput,
      /no policy uses the parameter/,
    ],
    [
      'an unknown key',
      template => Object.assign(template, {colour: 'red'}),
      EXIT_STATUS.invalidInput,
      /template:1: template\.colour: expected no such key/,
    ],
  ];
for (const [title, edit, status, expected] of INVALID_TEMPLATES) {
  test(`template publish refuses ${title} and changes nothing`, async () => {
    const harness = await createHarness();
    await editTemplate(harness, edit);
    const run = await harness.run('template', 'publish', 'template');
    assert.equal(run.status, status, run.errors);
    assert.match(run.errors, expected);
    assert.match(run.errors, /hint: Nothing was changed/);
    assert.equal(await harness.generation(), 1);
  });
}

test('a target owner may not publish a template', async () => {
  const harness = await createHarness();
  await editTemplate(harness, template => {
    Object.assign(template, {version: 2});
  });
  const run = await harness.runAs(OWNER, 'template', 'publish', 'template');
  assert.equal(run.status, EXIT_STATUS.notAllowed);
});

test('a missing file and broken JSON name file and line', async () => {
  const harness = await createHarness();
  const missing = await harness.run('template', 'check', 'nowhere');
  assert.equal(missing.status, EXIT_STATUS.invalidInput);
  assert.match(missing.errors, /nowhere: absent/);
  harness.files.set('broken', '{\n"kind": "template"\n');
  const broken = await harness.run('template', 'check', 'broken');
  assert.equal(broken.status, EXIT_STATUS.invalidInput);
  assert.match(broken.errors, /broken:\d: \(syntax\)/);
});
