import * as z from 'zod';

/** The issues of all elements of shorter arrays take little memory. */
const LONG_ARRAY_LENGTH = 500;

/**
 * An array whose check ends with the first element that is wrong, if it is
 * long. `z.array` describes the issues of all of them, which can take far more
 * memory than the array.
 */
export function checkedArray<Element extends z.ZodType>(
  element: Element,
  maximumLength = Infinity,
) {
  const array = z.array(element);
  const schema = maximumLength === Infinity ? array : array.max(maximumLength);
  return z.preprocess((value, context) => {
    if (!Array.isArray(value) || value.length <= LONG_ARRAY_LENGTH) {
      return value;
    }
    if (value.length > maximumLength) {
      context.addIssue(`longer than ${maximumLength} elements`);
      return z.NEVER;
    }
    for (const [index, item] of value.entries()) {
      if (!element.safeParse(item).success) {
        context.addIssue(`element ${index} is malformed`);
        return z.NEVER;
      }
    }
    return value;
  }, schema);
}
