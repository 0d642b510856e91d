/** Reads sections from JSON files with comments. */
import {
  type ConfigurationDocument,
  type Section,
  type SectionName,
  type SteeringTemplate,
  sectionNameOf,
  sectionSchema,
} from '@ibisbeam/decision';
import {createOperatorError} from '@ibisbeam/library';
import {type Either, Left, Right} from 'purify-ts';
import type {Dependencies, Errors} from './dependencies.js';
import {parseFile} from './parse_file.js';

type FileReader = Pick<Dependencies, 'readText' | 'listFiles'>;

export function loadSection(
  file: string,
  files: FileReader,
): Either<Errors, Section> {
  return files
    .readText(file)
    .chain(text => parseFile(text, file, sectionSchema));
}

/** Loads every `.jsonc` file of a folder; reports the errors of all files. */
export function loadSections(
  folder: string,
  files: FileReader,
): Either<Errors, ConfigurationDocument> {
  return files.listFiles(folder, '.jsonc').chain(names => {
    const document = new Map<SectionName, Section>();
    const errors: Errors[] = [];
    for (const file of names) {
      loadSection(file, files)
        .ifLeft(found => {
          errors.push(found);
        })
        .ifRight(section => {
          const name = sectionNameOf(section);
          if (document.has(name)) {
            errors.push([duplicateSection(file, name)]);
          }
          document.set(name, section);
        });
    }
    if (errors.length > 0) {
      return Left(errors.flat());
    }
    if (document.size === 0) {
      return Left([
        createOperatorError('FileUnreadable', {
          file: folder,
          cause: 'no file in it ends in .jsonc',
        }),
      ]);
    }
    return Right(document);
  });
}

function duplicateSection(file: string, name: SectionName) {
  return createOperatorError('FileInvalid', {
    file,
    line: 1,
    key: 'kind',
    expected: 'each section once',
    found: `section ${name} again`,
  });
}

export function loadTemplate(
  file: string,
  files: FileReader,
): Either<Errors, SteeringTemplate> {
  return loadSection(file, files).chain(section => {
    if (section.kind === 'template') {
      return Right<SteeringTemplate, Errors>(section.template);
    }
    return Left([
      createOperatorError('FileInvalid', {
        file,
        line: 1,
        key: 'kind',
        expected: '"template"',
        found: JSON.stringify(section.kind),
      }),
    ]);
  });
}
