import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareWithPage, updatePage} from '../src/slopes/capacity_page.js';
import {measureControl} from '../src/slopes/measure_control.js';
import {measureShares} from '../src/slopes/measure_forwarding.js';
import {CURRENT_SIZE} from '../src/slopes/scaled_configuration.js';
import {type Series, evaluate} from '../src/slopes/series.js';

const series: Series = {
  name: 'in-force',
  unit: 'ms',
  against: 'VMs',
  points: [
    {size: 10, value: 100},
    {size: 20, value: 200},
    {size: 30, value: 300},
  ],
  designSize: 1_100,
  counted: true,
  bound: 11_000,
};

const PAGE = `# Page

<!-- counted figures: begin -->
old
<!-- counted figures: end -->
`;

describe('a series', () => {
  it('is drawn out to the design size', () => {
    const result = evaluate(series);
    assert.equal(Math.round(result.atDesign), 11_000);
    assert.equal(result.measured, false);
  });

  it('is over when the design size is over the bound', () => {
    assert.ok(evaluate({...series, bound: 10_999}).over);
  });

  it('prefers a measured design size to the line', () => {
    const points = [...series.points, {size: 1_100, value: 50}];
    const result = evaluate({...series, points});
    assert.equal(result.atDesign, 50);
  });
});

describe('the capacity page', () => {
  const results = [evaluate(series)];
  const page = updatePage(PAGE, results);

  it('agrees with the run that wrote it', () => {
    assert.deepEqual(compareWithPage(page, results), []);
  });

  it('is found to differ by more than a twentieth', () => {
    const points = [{size: 10, value: 106}, ...series.points.slice(1)];
    const changed = [evaluate({...series, points})];
    assert.equal(compareWithPage(page, changed).length, 1);
  });

  it('keeps the rows of sizes that a run did not measure', () => {
    const points = [{size: 40, value: 400}];
    const again = updatePage(page, [{...results[0]!, points}]);
    assert.deepEqual(compareWithPage(again, results), []);
  });

  it('is found to lack a point', () => {
    const points = [...series.points, {size: 40, value: 400}];
    const changed = [evaluate({...series, points})];
    assert.equal(compareWithPage(page, changed)[0]?.page, undefined);
  });
});

describe('the control parts of seven VMs', () => {
  const figures = measureControl(CURRENT_SIZE);

  it('put a change in force within the bound', () => {
    assert.ok(figures.inForceMs <= 11_000);
  });

  it('see a lost zone within the bound of suspicion and a beat', () => {
    assert.ok(figures.zoneLossDetectionMs <= 5_000);
  });
});

describe('the shares of a region', () => {
  it('never add up to more than its slots', () => {
    assert.equal(measureShares(CURRENT_SIZE).excessSlots, 0);
  });
});
