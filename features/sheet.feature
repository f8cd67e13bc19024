Feature: The planners' sheet
  A sheet is read whole or refused whole, with each fault at its place.

  Scenario: The samples are valid
    Then the sample sheet lagos.csv is valid with 4 zones
    And the sample sheet pt-interior.csv is valid with 3 zones

  Scenario Outline: Each fault is told at its line and column: <fault>
    Given the sample sheet lagos.csv
    When its text "<old>" becomes "<new>"
    Then the sheet has the fault "<fault>" on a line with "<marker>" in column <column>

    Examples: bad values
      | old           | new           | marker       | column | fault                            |
      | ikeja,in      | ikeja,maybe   | ikeja,maybe  | 2      | 'maybe' is none of in, out       |
      | ikeja,in      | ike ja,in     | ike ja       | 1      | 'ike ja' is no name              |
      | lekki,in      | ikeja,out     | ikeja,out    | 1      | already stands in line           |
      | ,8,200,       | ,0,200,       | breweries,   | 3      | no whole number from 1 to 1000   |
      | ,8,200,       | ,8,-1,        | breweries,   | 4      | no number above 0                |
      | ,8,200,       | ,8,nan,       | breweries,   | 4      | no number above 0                |
      | ,8,200,       | ,٨,200,       | breweries,   | 3      | no whole number                  |
      | ,8,200,400    | ,8,200,1e3    | breweries,   | 5      | no whole number                  |
      | model,2,8     | model,9,8     | model,9,8    | 3      | above the warm limit             |
      | model-pool,model,2 | entry,model,2 | entry,model | 1   | the system's own                 |
      | /v1/schedules | v1/schedules  | v1/schedules | 7      | does not start with /            |
      | yes,/v1/read  | maybe,/v1/read | maybe,/v1   | 6      | neither yes nor no               |
      | breweries,    | breweries,f   | breweries,f  | 2      | no SHA-256                       |

    Examples: bad references
      | old                      | new                       | marker       | column | fault                     |
      | adjust-pump,training     | adjust-pump,traning       | traning      | 2      | is no client account      |
      | adjust-pump,training     | ajust-pump,training       | ajust-pump   | 1      | is no pipeline            |
      | 4,adjust,generate,model-pool | 4,adjust,generate,invoice-svc | generate,invoice-svc | 5 | is no pool of kind model |
      | writer,pumps,yes         | writer,pump,yes           | writer,pump,yes | 7   | no target                 |
      | writer,pumps,yes         | writter,pumps,yes         | writter      | 6      | no target                 |
      | alarms pumps,any         | alarms pumps,all          | alarms pumps,all | 5  | is none of any, encode    |

    Examples: bad shape
      | old                      | new                       | marker       | column | fault                     |
      | adjust-pump,4,           | adjust-pump,6,            | adjust-pump,3000 | 1  | are not 1 to 4            |
      | adjust-pump,4,adjust     | adjust-pump,4,rerank      | 4,rerank     | 3      | stands twice              |
      | pipeline,account         | pipeline,acount           | acount       | 2      | has no column 'acount'    |
      | pipeline,account         | pipeline,acount           | acount       | 0      | lacks the column          |
      | ikeja,in                 | ikeja,in,x                | ikeja,in,x   | 3      | a cell without a column   |
      | [bindings]               | [binding]                 | [binding]    | 1      | none of the sections      |
      | [bindings]               | [stages]                  | [stages]     | 1      | is already open           |
      | [bindings]               | [bindings                 | [bindings    | 1      | no section title          |
      | ikeja,in                 | "ikeja,in                 | "ikeja,in    | 0      | the CSV is malformed      |

  Scenario: All faults are listed at once, in the order of lines
    Given the sample sheet lagos.csv
    When its text "ikeja,in" becomes "ikeja,maybe"
    And its text "model,2,8" becomes "model,0,8"
    And its text "writer,3" becomes "writer,a/b"
    Then the sheet has 3 faults in the order of lines

  Scenario Outline: A pipeline has three to six stages: <count>
    Given the sample sheet lagos.csv with a pipeline of <count> stages
    Then the sheet is <verdict>

    Examples:
      | count | verdict |
      | 2     | refused |
      | 3     | valid   |
      | 6     | valid   |
      | 7     | refused |

  Scenario Outline: Files that are no sheet are refused: <what>
    Then a sheet of <what> is refused with "<fault>"

    Examples:
      | what             | fault                  |
      | nothing          | [zones] is missing     |
      | Latin-1 text     | is not UTF-8           |
      | UTF-16 text      | is not UTF-8           |
      | random bytes     | is not UTF-8           |
      | too many bytes   | more than 16777216     |
      | too many rows    | more than 100000 rows  |
      | a long cell      | more than 1000         |
      | JSON             | before any [section]   |

  Scenario Outline: What spreadsheets do to a file changes nothing: <habit>
    Given the sample sheet lagos.csv
    When it is saved with <habit>
    Then it still reads as the same configuration

    Examples:
      | habit            |
      | CRLF line ends   |
      | a byte order mark |
      | semicolons       |
      | quoted cells     |
      | padding cells    |
      | rows in reverse  |

  Scenario: A hundred thousand rows are read within bounds
    Given a sheet with 99000 client accounts
    Then it is read within 20 seconds
    Given a sheet with 9900 client accounts
    Then it is read within 20 megabytes

  Scenario: Arbitrary damage to a sheet never raises
    Then 150 sheets with damage drawn by hypothesis are read or refused
