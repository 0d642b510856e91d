import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {LogEvent, ReadObject} from '@ibisbeam/library';
import {Left, Right} from 'purify-ts';
import {
  type EntrySelections,
  createEntrySelections,
} from '../src/store/entry_selection.js';

const TOO_LONG: ReadObject['content'] = {kind: 'refused', fault: 'long-value'};

describe('the objects of the store that a VM keeps', () => {
  let logged: Array<{event: LogEvent; fields: unknown}>;
  let selections: EntrySelections;

  beforeEach(() => {
    logged = [];
    selections = createEntrySelections({
      protocol: {
        configurationName: 'main',
        trimTarget: (_, value) =>
          value === 'sound' ? Right('trimmed') : Left('not sound'),
      },
      log: {log: (_, event, fields) => logged.push({event, fields})},
    });
  });

  function read(
    key: string,
    version: number,
    content: ReadObject['content'],
  ): ReadObject {
    return {key, version, bytes: 9, content};
  }

  function value(held: unknown): ReadObject['content'] {
    return {kind: 'value', value: held};
  }

  it('are targets, without what nobody reads of them', () => {
    const {select} = selections.targets;
    assert.deepEqual(select(read('servers/a', 1, value('sound'))), {
      value: 'trimmed',
    });
    assert.equal(select(read('servers/a', 2, value('other'))), undefined);
    assert.equal(select(read('servers/a', 3, TOO_LONG)), undefined);
  });

  // Guards against an evacuation that is not heard because of what its entry
  // holds, which nobody reads.
  it('are evacuations with any content', () => {
    const {select} = selections.evacuations;
    assert.ok(select(read('evacuations/riga-a', 1, value({}))));
    assert.ok(select(read('evacuations/riga-a', 1, TOO_LONG)));
    const long = `evacuations/${'z'.repeat(65)}`;
    assert.equal(select(read(long, 1, value({}))), undefined);
  });

  it('are no other configuration than the newest', () => {
    const {select} = selections.configuration;
    assert.deepEqual(select(read('config/main', 1, value(1))), {value: 1});
    assert.equal(select(read('config/other', 1, value(1))), undefined);
  });

  // Guards against a log that one entry fills, and against one that does not
  // tell which entry it was.
  it('leave out others with one line a change', () => {
    const {select} = selections.targets;
    for (const version of [1, 1, 1, 2, 2]) {
      select(read('servers/a', version, TOO_LONG));
    }
    const fields = {target: 'a', bytes: 9, cause: 'long-value'};
    assert.deepEqual(logged, [
      {event: 'target-entry-refused', fields},
      {event: 'target-entry-refused', fields},
    ]);
  });
});
