// Fails if source files import each other in a circle: such files can only be
// read and tested together.
import {readFileSync, readdirSync} from 'node:fs';
import {dirname, join, normalize} from 'node:path';
import {preProcessFile} from 'typescript';

function sourcesIn(folder) {
  return readdirSync(folder, {recursive: true, withFileTypes: true})
    .filter(entry => entry.isFile() && entry.name.endsWith('.ts'))
    .map(entry => join(entry.parentPath, entry.name))
    .filter(file => !/(^|\/)(node_modules|dist)\//.test(file));
}

const files = new Set([...sourcesIn('packages'), ...sourcesIn('platform')]);
const imports = new Map();
for (const file of files) {
  const {importedFiles} = preProcessFile(readFileSync(file, 'utf8'));
  const found = importedFiles
    .filter(({fileName}) => fileName.startsWith('.'))
    .map(({fileName}) =>
      normalize(join(dirname(file), fileName)).replace(/\.js$/, '.ts'),
    )
    .filter(name => files.has(name));
  imports.set(file, found);
}

const finished = new Set();
const path = [];
let circles = 0;

function visit(file) {
  if (finished.has(file)) {
    return;
  }
  const begin = path.indexOf(file);
  if (begin >= 0) {
    circles += 1;
    console.error(`circle: ${[...path.slice(begin), file].join(' -> ')}`);
    return;
  }
  path.push(file);
  for (const imported of imports.get(file)) {
    visit(imported);
  }
  path.pop();
  finished.add(file);
}

for (const file of files) {
  visit(file);
}
process.exitCode = circles === 0 ? 0 : 1;
